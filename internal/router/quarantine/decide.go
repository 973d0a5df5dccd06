package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// sighting is a request that was in progress at a crash, with those of its parts
// that are not known to be sound.
type sighting struct {
	id    Crash
	crash *crash
	parts []Part
}

// suspicion is the evidence against the parts that occur together with one part.
type suspicion struct {
	set     []Part
	crashes map[Crash]*crash
	first   clock.Instant
	last    clock.Instant
	// novel is set if a part of the set is not known to have been sound at any time.
	novel bool
}

// sufficient reports whether there are enough crashes.
func (s *suspicion) sufficient() bool {
	enough := manyCrashes
	if s.novel {
		enough = minCrashes
	}
	return len(s.crashes) >= enough && s.last.Sub(s.first) >= minSpan
}

// rivals reports whether another suspicion explains the same crashes as well, by parts
// of other requests, so that only more crashes can tell them apart.
func (s *suspicion) rivals(o *suspicion) bool {
	if s.novel != o.novel || len(s.crashes) != len(o.crashes) || len(s.crashes) >= manyCrashes || len(intersect(s.set, o.set)) > 0 {
		return false
	}
	for id := range s.crashes {
		if o.crashes[id] == nil {
			return false
		}
	}
	return true
}

// specific reports whether a request without the set succeeded since the first crash.
// While every request fails, crashes say nothing about the parts.
func (s *suspicion) specific(lastSuccess clock.Instant) bool { return lastSuccess > s.first }

// reconsider brings the quarantined sets in line with the evidence, if that has
// changed.
func (q *Quarantine) reconsider(now clock.Instant) {
	if !q.changed && (q.matureAt == 0 || now < q.matureAt) {
		return
	}
	q.changed, q.awaitsSuccess = false, false
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
		s := q.strongest(sightings, explained)
		if s == nil {
			break
		}
		if !s.specific(q.lastSuccess) {
			q.awaitsSuccess = true
			break
		}
		cover[setKey(s.set)] = s
		q.markExplained(explained, s.set)
	}
	q.applyCover(now, cover, explained)
	q.updateAccused()
}

// hasEvidence reports whether this router knows the crashes of a quarantined set, so
// that it can judge it.
func (q *Quarantine) hasEvidence(e *Entry) bool { return q.countCrashes(e.parts) >= minCrashes }

// applyCover quarantines the sets that explain the crashes, and drops those of which
// others explain all crashes.
func (q *Quarantine) applyCover(now clock.Instant, cover map[string]*suspicion, explained map[Crash]bool) {
	for _, key := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[key]
		if cover[key] == nil && q.hasEvidence(e) && q.allExplained(e.parts, explained) {
			delete(q.entries, key)
			q.report(Change{Kind: Superseded, Entry: *e})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(cover)) {
		if q.entries[key] != nil || len(q.entries) >= maxEntries {
			continue
		}
		e := newEntry(now, cover[key])
		q.entries[key] = e
		q.tell(news{kind: entryNews, key: key})
		q.report(Change{Kind: Quarantined, Entry: *e})
	}
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
// that are not known to be sound, and sets when the next crash counts.
func (q *Quarantine) sightings(now clock.Instant) []sighting {
	q.matureAt = 0
	var list []sighting
	for _, id := range slices.Sorted(maps.Keys(q.crashes)) {
		c := q.crashes[id]
		if now.Sub(c.at) < evidenceDelay {
			if at := c.at.Add(evidenceDelay); q.matureAt == 0 || at < q.matureAt {
				q.matureAt = at
			}
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(c.sightings)) {
			parts := slices.DeleteFunc(slices.Clone(c.sightings[key]), func(p Part) bool { return q.soundAt(p, c.at) })
			if len(parts) > 0 {
				list = append(list, sighting{id, c, parts})
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
// before others, then the one with the most crashes. A larger set that is sufficient
// by itself goes before its subsets, since it forbids fewer requests.
func (q *Quarantine) strongest(sightings []sighting, explained map[Crash]bool) *suspicion {
	list := q.suspicions(sightings, explained)
	for _, s := range list {
		if slices.ContainsFunc(list, s.rivals) {
			continue
		}
		for _, o := range list {
			if len(o.set) > len(s.set) && containsAll(o.set, s.set) {
				s = o
			}
		}
		return s
	}
	return nil
}

// suspicions returns the sufficient suspicions, the strongest first.
func (q *Quarantine) suspicions(sightings []sighting, explained map[Crash]bool) []*suspicion {
	byPart := map[Part]*suspicion{}
	for _, s := range sightings {
		if explained[s.id] {
			continue
		}
		for _, p := range s.parts {
			byPart[p] = byPart[p].add(s)
		}
	}
	var list []*suspicion
	for _, p := range slices.Sorted(maps.Keys(byPart)) {
		s := byPart[p]
		s.novel = slices.ContainsFunc(s.set, func(p Part) bool { _, known := q.sound[p]; return !known })
		if s.sufficient() {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *suspicion) int {
		if a.novel != b.novel {
			if a.novel {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(len(b.set), len(a.set)))
	})
	return list
}

func (s *suspicion) add(o sighting) *suspicion {
	if s == nil {
		return &suspicion{set: o.parts, crashes: map[Crash]*crash{o.id: o.crash}, first: o.crash.at, last: o.crash.at}
	}
	s.set = intersect(s.set, o.parts)
	s.crashes[o.id] = o.crash
	s.first, s.last = min(s.first, o.crash.at), max(s.last, o.crash.at)
	return s
}

func newEntry(now clock.Instant, s *suspicion) *Entry {
	e := &Entry{parts: s.set, crashes: len(s.crashes), firstAt: s.first, lastAt: s.last, until: now.Add(minQuarantine)}
	for _, c := range s.crashes {
		e.upstreams = append(e.upstreams, c.upstream)
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
