package quarantine

import (
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// AddCrash adds the requests of this router that were in progress when an
// incarnation of an upstream ended, given by their parts, and returns what changes.
func (q *Quarantine) AddCrash(now clock.Instant, id Crash, at clock.Instant, upstream string, requests [][]Part) []Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var changes []Change
	for _, parts := range requests {
		suspects := slices.DeleteFunc(normalize(parts), func(p Part) bool { return q.soundAt(p, at) })
		changes = append(changes, q.addSighting(now, id, at, upstream, suspects)...)
	}
	return append(changes, q.reconsider(now)...)
}

// addSighting adds a request that was in progress at a crash. Nothing happens if it
// is known already.
func (q *Quarantine) addSighting(now clock.Instant, id Crash, at clock.Instant, upstream string, parts []Part) []Change {
	if len(parts) == 0 {
		return nil
	}
	c := q.crashes[id]
	if c == nil {
		if len(q.crashes) >= maxCrashes {
			q.dropOldestCrash()
		}
		c = &crash{at: at, upstream: upstream, sightings: map[string][]Part{}}
		q.crashes[id] = c
	}
	key := setKey(parts)
	if c.sightings[key] != nil || len(c.sightings) >= maxSightingsPerCrash {
		return nil
	}
	c.sightings[key], q.changed = parts, true
	var changes []Change
	for _, e := range q.entries {
		if !containsAll(parts, e.parts) {
			continue
		}
		e.crashes, e.lastAt = max(e.crashes, q.countCrashes(e.parts)), max(e.lastAt, c.at)
		if c.at >= e.until {
			e.extend(now)
			changes = append(changes, Change{Kind: Extended, Entry: *e})
		}
	}
	q.tell(news{kind: crashNews, crash: id, key: key})
	for _, p := range parts {
		if q.soundAt(p, c.at) {
			q.tellSound(p)
		}
	}
	return changes
}

// countCrashes returns the number of crashes at which a request with all parts of a
// set was in progress.
func (q *Quarantine) countCrashes(set []Part) int {
	n := 0
	for _, c := range q.crashes {
		for _, parts := range c.sightings {
			if containsAll(parts, set) {
				n++
				break
			}
		}
	}
	return n
}

func (q *Quarantine) dropOldestCrash() {
	var oldest Crash
	for id, c := range q.crashes {
		if o := q.crashes[oldest]; o == nil || c.at < o.at {
			oldest = id
		}
	}
	delete(q.crashes, oldest)
	q.changed = true
}
