package quarantine

import (
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// AddCrash adds the requests of this router that were in progress when an
// incarnation of an upstream ended, given by their parts.
func (q *Quarantine) AddCrash(now clock.Instant, id Crash, at clock.Instant, upstream string, requests [][]Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, parts := range requests {
		q.addSighting(now, id, at, upstream, normalize(parts))
	}
	q.reconsider(now)
}

// addSighting adds a request that was in progress at a crash. Nothing happens if it
// is known already.
func (q *Quarantine) addSighting(now clock.Instant, id Crash, at clock.Instant, upstream string, parts []Part) {
	if !q.accuses(parts, at) {
		return
	}
	id = q.knownCrash(id, at, upstream)
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
		return
	}
	c.sightings[key], q.changed = parts, true
	for _, e := range q.entries {
		if !containsAll(parts, e.parts) {
			continue
		}
		e.crashes, e.lastAt = max(e.crashes, q.countCrashes(e.parts)), max(e.lastAt, c.at)
		if c.at >= e.until {
			e.extend(now)
			q.report(Change{Kind: Extended, Entry: *e})
		}
	}
	q.tell(news{kind: crashNews, crash: id, key: key})
	for _, p := range parts {
		// An earlier success is no proof, but makes other parts more suspicious.
		if _, known := q.sound[p]; known {
			q.tellSound(p)
		}
	}
}

// knownCrash returns the ID under which a crash is known, or id if it is not. Routers
// that do not know the incarnation of an upstream give one crash different IDs.
func (q *Quarantine) knownCrash(id Crash, at clock.Instant, upstream string) Crash {
	for known, c := range q.crashes {
		if c.upstream == upstream && at.Sub(c.at).Abs() < sameCrash {
			return known
		}
	}
	return id
}

// accuses reports whether a request that was in progress at a crash has a part that
// is not known to be sound. If not, it tells peers so.
func (q *Quarantine) accuses(parts []Part, at clock.Instant) bool {
	for _, p := range parts {
		if !q.soundAt(p, at) {
			return true
		}
	}
	for _, p := range parts {
		q.tellSound(p)
	}
	return false
}

// shows reports whether a request with all parts of a set was in progress.
func (c *crash) shows(set []Part) bool {
	for _, parts := range c.sightings {
		if containsAll(parts, set) {
			return true
		}
	}
	return false
}

// countCrashes returns the number of crashes at which a request with all parts of a
// set was in progress.
func (q *Quarantine) countCrashes(set []Part) int {
	n := 0
	for _, c := range q.crashes {
		if c.shows(set) {
			n++
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
