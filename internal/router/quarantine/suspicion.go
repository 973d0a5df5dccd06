package quarantine

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// crashSet is a set of crashes, by their index in one decision.
type crashSet [maxCrashes / 64]uint64

func (c *crashSet) add(i int) { c[i/64] |= 1 << (i % 64) }

func (c *crashSet) count() int {
	n := 0
	for _, word := range c {
		n += bits.OnesCount64(word)
	}
	return n
}

// sighting is a request that was in progress at a crash, with those of its parts
// that are not known to be sound.
type sighting struct {
	id    Crash
	crash *crash
	// index is that of the crash in this decision.
	index  int
	prompt promptID
	parts  []Part
}

// suspicion is the evidence against the parts that occur together with one part.
type suspicion struct {
	set     []Part
	crashes crashSet
	// count is the number of crashes.
	count int
	// prompts holds the requests, so that the repeats of one request count once.
	prompts map[promptID]bool
	// sightings are the requests at the crashes.
	sightings []sighting
	first     clock.Instant
	last      clock.Instant
	// novel is set if a part of the set is not known to have been sound at any time.
	novel bool
}

// sufficient reports whether there are enough crashes. Crashes of many upstreams within
// minSpan count once peers have had settleTime to report the parts as sound.
func (q *Quarantine) sufficient(now clock.Instant, s *suspicion) bool {
	enough := manyCrashes
	if s.novel {
		enough = minCrashes
	}
	if s.last.Sub(s.first) >= minSpan {
		return s.count >= enough
	}
	return q.likely(s) && now.Sub(s.last) >= settleTime
}

// likely reports whether there are many crashes of different requests, as seen by a router
// that has served long enough before to know the parts that are often sound.
func (q *Quarantine) likely(s *suspicion) bool {
	return s.count >= manyCrashes && len(s.prompts) >= minPrompts && q.firstSuccess > 0 && s.first.Sub(q.firstSuccess) >= learnTime
}

// ties reports whether another suspicion explains the same crashes as well by other parts.
func (s *suspicion) ties(o *suspicion) bool {
	return s.novel == o.novel && s.crashes == o.crashes && !intersects(s.set, o.set)
}

// rivals reports whether another suspicion ties so that only more crashes can tell them
// apart.
func (s *suspicion) rivals(o *suspicion) bool { return s.ties(o) && s.count < manyCrashes }

// generalizes reports whether the crashes show that the set itself crashes upstreams and
// not only a larger set that contains it: there are more crashes than a single request
// and its repeats usually cause, and some of them are of requests without the larger set.
// A set that was sound before needs a further request if the larger one was not.
func (s *suspicion) generalizes(larger *suspicion) bool {
	prompts := minPrompts
	if larger.novel && !s.novel {
		prompts++
	}
	return s.count >= manyCrashes && s.count-larger.count >= minOtherCrashes && len(s.prompts) >= prompts
}

// yieldsTo reports whether another suspicion explains the evidence better: a larger set
// that is sufficient by itself, since it forbids fewer requests, or a smaller one that
// generalizes the set.
func (s *suspicion) yieldsTo(o *suspicion) bool {
	switch {
	case len(o.set) > len(s.set) && containsAll(o.set, s.set):
		return !s.generalizes(o)
	case len(o.set) < len(s.set) && containsAll(s.set, o.set):
		return o.generalizes(s)
	}
	return false
}

// specific reports whether a request without the set succeeded since the first crash.
// While every request fails, crashes say little about the parts. If upstreams crash faster
// than any request ends, many crashes on parts that were never sound are enough, provided
// that other requests succeeded shortly before.
func (q *Quarantine) specific(s *suspicion) bool {
	return q.lastSuccess > s.first || s.novel && q.likely(s) && s.first.Sub(q.lastSuccess) < priorSuccess
}

// partGroup is a group of parts that occur in the same sightings, given by their indexes
// in ascending order.
type partGroup struct {
	parts   []Part
	indexes []int
}

// includes reports whether the parts of g occur only where those of a group do.
func (o *partGroup) includes(g *partGroup) bool {
	if len(o.indexes) < len(g.indexes) {
		return false
	}
	for _, i := range g.indexes {
		if _, found := slices.BinarySearch(o.indexes, i); !found {
			return false
		}
	}
	return true
}

func (o *partGroup) sightings(all []sighting) []sighting {
	list := make([]sighting, len(o.indexes))
	for k, i := range o.indexes {
		list[k] = all[i]
	}
	return list
}

// groupParts returns the parts that occur at minCrashes crashes or more, grouped, in the
// order of their first part. Of long prompts these are few.
func groupParts(sightings []sighting) []*partGroup {
	crashes := map[Part]crashSet{}
	for _, g := range sightings {
		for _, p := range g.parts {
			c := crashes[p]
			c.add(g.index)
			crashes[p] = c
		}
	}
	indexes := map[Part][]int{}
	for i, g := range sightings {
		for _, p := range g.parts {
			if c := crashes[p]; c.count() >= minCrashes {
				indexes[p] = append(indexes[p], i)
			}
		}
	}
	var groups []*partGroup
	byIndexes := map[string]*partGroup{}
	for _, p := range slices.Sorted(maps.Keys(indexes)) {
		key := make([]byte, 0, 4*len(indexes[p]))
		for _, i := range indexes[p] {
			key = binary.LittleEndian.AppendUint32(key, uint32(i))
		}
		g := byIndexes[string(key)]
		if g == nil {
			g = &partGroup{indexes: indexes[p]}
			byIndexes[string(key)] = g
			groups = append(groups, g)
		}
		g.parts = append(g.parts, p)
	}
	return groups
}

// newSuspicion returns the suspicion against a set that was in progress as sightings show.
func newSuspicion(set []Part, sightings []sighting) *suspicion {
	s := &suspicion{set: slices.Clone(set), sightings: sightings, prompts: map[promptID]bool{}}
	for i, g := range sightings {
		s.crashes.add(g.index)
		s.prompts[g.prompt] = true
		if at := g.crash.at; i == 0 {
			s.first, s.last = at, at
		} else {
			s.first, s.last = min(s.first, at), max(s.last, at)
		}
	}
	s.count = s.crashes.count()
	return s
}
