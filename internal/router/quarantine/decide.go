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
}

// sufficient reports whether there are enough crashes.
func (s *suspicion) sufficient() bool {
	return len(s.crashes) >= minCrashes && s.last.Sub(s.first) >= minSpan
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
		q.markExplained(explained, e.parts)
	}
	for len(q.entries) < maxEntries {
		s := strongest(sightings, explained)
		if s == nil {
			break
		}
		if !s.specific(q.lastSuccess) {
			q.awaitsSuccess = true
			break
		}
		e := newEntry(now, s)
		q.entries[setKey(e.parts)] = e
		q.tell(news{kind: entryNews, key: setKey(e.parts)})
		q.report(Change{Kind: Quarantined, Entry: *e})
		q.markExplained(explained, e.parts)
	}
	q.updateAccused()
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
// explained, nil if there is none: the largest set, which forbids the fewest
// requests, and among these the one with the most crashes.
func strongest(sightings []sighting, explained map[Crash]bool) *suspicion {
	suspicions := map[Part]*suspicion{}
	for _, s := range sightings {
		if explained[s.id] {
			continue
		}
		for _, p := range s.parts {
			suspicions[p] = suspicions[p].add(s)
		}
	}
	var best *suspicion
	for _, p := range slices.Sorted(maps.Keys(suspicions)) {
		s := suspicions[p]
		if s.sufficient() && (best == nil || cmp.Or(cmp.Compare(len(s.set), len(best.set)), cmp.Compare(len(s.crashes), len(best.crashes))) > 0) {
			best = s
		}
	}
	return best
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
