package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// reconsider brings the quarantined sets in line with the evidence, if that has
// changed.
func (q *Quarantine) reconsider(now clock.Instant) {
	if !q.changed && (q.matureAt == 0 || now < q.matureAt) || q.size > muchEvidence && now.Sub(q.decidedAt) < decideInterval {
		return
	}
	q.changed, q.awaitsSuccess, q.decidedAt = false, false, now
	sightings := q.sightings(now)
	q.narrow()
	explained := map[Crash]bool{}
	for _, e := range q.entries {
		if !q.hasEvidence(e) {
			q.markExplained(explained, e.parts)
		}
	}
	cover := map[string]*suspicion{}
	for len(cover) < maxEntries {
		s := q.strongest(now, sightings, explained)
		if s == nil {
			break
		}
		if !q.specific(s) {
			q.awaitsSuccess = true
			break
		}
		q.fit(s)
		cover[setKey(s.set)] = s
		q.markExplained(explained, s.set)
	}
	q.applyCover(now, cover)
	q.updateAccused()
}

// hasEvidence reports whether this router knows the crashes of a quarantined set, so
// that it can judge it.
func (q *Quarantine) hasEvidence(e *Entry) bool { return q.countCrashes(e.parts) >= minCrashes }

// applyCover quarantines the sets that explain the crashes, and drops those of which
// others explain all crashes.
func (q *Quarantine) applyCover(now clock.Instant, cover map[string]*suspicion) {
	for _, key := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[key]
		if cover[key] == nil && q.superseded(e, cover) {
			delete(q.entries, key)
			q.report(Change{Kind: Superseded, Entry: *e})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(cover)) {
		if len(q.entries) >= maxEntries || q.covers(cover[key].set) {
			continue
		}
		e := newEntry(now, cover[key])
		q.entries[key] = e
		q.tell(news{kind: entryNews, key: key})
		q.report(Change{Kind: Quarantined, Entry: *e})
	}
}

// superseded reports whether the sets in cover explain all crashes of a quarantined set.
// A larger set does not replace it: the router that decided on it may know more crashes,
// or parts that were sound before.
func (q *Quarantine) superseded(e *Entry, cover map[string]*suspicion) bool {
	explained := map[Crash]bool{}
	for _, s := range cover {
		if !containsAll(s.set, e.parts) {
			q.markExplained(explained, s.set)
		}
	}
	for _, o := range q.entries {
		if !q.hasEvidence(o) && !containsAll(o.parts, e.parts) {
			q.markExplained(explained, o.parts)
		}
	}
	return q.hasEvidence(e) && q.allExplained(e.parts, explained)
}

// allExplained reports whether all crashes at which a request with all parts of a set
// was in progress are explained.
func (q *Quarantine) allExplained(set []Part, explained map[Crash]bool) bool {
	for id, c := range q.crashes {
		if !explained[id] && c.shows(set) {
			return false
		}
	}
	return true
}

// updateAccused determines the parts against which there is evidence.
func (q *Quarantine) updateAccused() {
	clear(q.accused)
	for _, c := range q.crashes {
		for _, parts := range c.sightings {
			for _, p := range parts {
				if !q.soundAt(p, c.at) {
					q.accused[p] = true
				}
			}
		}
	}
	for _, e := range q.entries {
		for _, p := range e.parts {
			q.accused[p] = true
		}
	}
}

// sightings returns the requests that were in progress at crashes and have parts
// that are not known to be sound, and sets when the evidence counts for more.
func (q *Quarantine) sightings(now clock.Instant) []sighting {
	q.matureAt = 0
	var list []sighting
	for i, id := range slices.Sorted(maps.Keys(q.crashes)) {
		c := q.crashes[id]
		age := now.Sub(c.at)
		if age < settleTime {
			wait := settleTime
			if age < evidenceDelay {
				wait = evidenceDelay
			}
			if at := c.at.Add(wait); q.matureAt == 0 || at < q.matureAt {
				q.matureAt = at
			}
		}
		if age < evidenceDelay {
			continue
		}
		for _, prompt := range slices.Sorted(maps.Keys(c.sightings)) {
			parts := slices.DeleteFunc(slices.Clone(c.sightings[prompt]), func(p Part) bool { return q.soundAt(p, c.at) })
			if len(parts) > 0 {
				list = append(list, sighting{id, c, i, prompt, parts})
			}
		}
	}
	return list
}

// narrow removes the parts that are sound from the quarantined sets.
func (q *Quarantine) narrow() {
	for _, key := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[key]
		parts := slices.DeleteFunc(slices.Clone(e.parts), func(p Part) bool { return q.soundAt(p, e.lastAt) })
		if len(parts) == len(e.parts) {
			continue
		}
		delete(q.entries, key)
		if len(parts) == 0 {
			q.report(Change{Kind: Released, Entry: *e})
			continue
		}
		e.parts = parts
		if q.entries[setKey(parts)] == nil {
			q.entries[setKey(parts)] = e
			q.report(Change{Kind: Narrowed, Entry: *e})
		}
	}
}

// markExplained marks the crashes at which a request with all parts of a set was in
// progress.
func (q *Quarantine) markExplained(explained map[Crash]bool, set []Part) {
	for id, c := range q.crashes {
		if c.shows(set) {
			explained[id] = true
		}
	}
}

// strongest returns the strongest sufficient suspicion from the crashes that are not
// explained, nil if there is none: one against a part that was never known to be sound
// before others, then the one with the most crashes, then one that is in force. It may
// yield to another one.
func (q *Quarantine) strongest(now clock.Instant, sightings []sighting, explained map[Crash]bool) *suspicion {
	list := q.suspicions(now, sightings, explained)
	for _, s := range list {
		if slices.ContainsFunc(list, s.rivals) {
			continue
		}
		for range list {
			i := slices.IndexFunc(list, s.yieldsTo)
			if i < 0 {
				break
			}
			s = list[i]
		}
		if joint := q.jointSuspicion(now, s, list); joint != nil {
			return joint
		}
		q.leaveOutKnown(s)
		return s
	}
	return nil
}

// jointSuspicion returns the sufficient suspicion against requests with both the set and
// one that ties with it, nil if there is none. More crashes can show which of the two it
// is; until then only requests with both are refused.
func (q *Quarantine) jointSuspicion(now clock.Instant, s *suspicion, list []*suspicion) *suspicion {
	for _, o := range list {
		if !s.ties(o) {
			continue
		}
		both := normalize(slices.Concat(s.set, o.set))
		var together []sighting
		for _, g := range s.sightings {
			if containsAll(g.parts, both) {
				together = append(together, g)
			}
		}
		if joint := newSuspicion(both, together); len(together) > 0 {
			if joint.novel = s.novel; q.sufficient(now, joint) {
				return joint
			}
		}
	}
	return nil
}

// leaveOutKnown removes the parts that were sound before from a set with others, once
// there are many crashes: a part that was never sound is then the likely cause.
func (q *Quarantine) leaveOutKnown(s *suspicion) {
	if s.novel && s.count >= manyCrashes {
		s.set = slices.DeleteFunc(slices.Clone(s.set), q.wasSound)
	}
}

// fit limits a set to maxParts, so that peers can be told. Parts that were sound before
// are left out first. A set that is in force already stays as it is.
func (q *Quarantine) fit(s *suspicion) {
	if len(s.set) <= maxParts {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(q.entries)) {
		if e := q.entries[key]; containsAll(s.set, e.parts) {
			s.set = e.parts
			return
		}
	}
	set := slices.Clone(s.set)
	slices.SortStableFunc(set, func(a, b Part) int { return first(!q.wasSound(a), !q.wasSound(b)) })
	s.set = normalize(set[:maxParts])
}

// suspicions returns the sufficient suspicions, the strongest first.
func (q *Quarantine) suspicions(now clock.Instant, sightings []sighting, explained map[Crash]bool) []*suspicion {
	sightings = slices.DeleteFunc(slices.Clone(sightings), func(g sighting) bool { return explained[g.id] })
	var list []*suspicion
	groups := groupParts(sightings)
	for _, g := range groups {
		s := newSuspicion(g.parts, g.sightings(sightings))
		s.novel = slices.ContainsFunc(s.set, func(p Part) bool { return !q.wasSound(p) })
		for _, o := range groups {
			if o != g && o.includes(g) {
				s.set = append(s.set, o.parts...)
				s.novel = s.novel || slices.ContainsFunc(o.parts, func(p Part) bool { return !q.wasSound(p) })
			}
		}
		if q.sufficient(now, s) {
			s.set = normalize(s.set)
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspicion) int {
		return cmp.Or(first(a.novel, b.novel), cmp.Compare(b.count, a.count), first(q.inForce(a), q.inForce(b)),
			cmp.Compare(len(b.set), len(a.set)), slices.Compare(a.set, b.set))
	})
	return list
}

// inForce reports whether exactly the set of a suspicion is quarantined.
func (q *Quarantine) inForce(s *suspicion) bool { return q.entries[setKey(s.set)] != nil }

// first compares two properties so that what has it comes first.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func newEntry(now clock.Instant, s *suspicion) *Entry {
	e := &Entry{parts: s.set, crashes: s.count, firstAt: s.first, lastAt: s.last, until: now.Add(minQuarantine)}
	seen := map[Crash]bool{}
	for _, g := range s.sightings {
		if !seen[g.id] {
			seen[g.id] = true
			e.upstreams = append(e.upstreams, g.crash.upstream)
		}
	}
	slices.Sort(e.upstreams)
	e.upstreams = e.upstreams[:min(len(e.upstreams), maxUpstreamsPerChange)]
	return e
}

// extend starts the next time of quarantine after a probe that crashed an upstream.
func (e *Entry) extend(now clock.Instant) {
	e.failedProbes++
	e.until = now.Add(quarantineTime(e.failedProbes))
}

// quarantineTime returns the time until the next probe after a number of probes that
// crashed an upstream.
func quarantineTime(failedProbes int) time.Duration {
	return min(minQuarantine<<min(failedProbes, 8), maxQuarantine)
}
