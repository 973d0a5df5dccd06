package quarantine

import (
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	maxCrashes           = 128
	maxSightingsPerCrash = 32
	// maxSightingParts limits the parts kept of one request, maxCrashParts those of all
	// requests at one crash, and maxEvidenceParts those of all crashes. A head of 16 KB
	// has room for 4,096 parts.
	maxSightingParts = 4 << 10
	maxCrashParts    = 8 << 10
	maxEvidenceParts = 64 << 10
)

// Crash identifies the end of one incarnation of an upstream.
type Crash uint64

// crash is the evidence of one crash.
type crash struct {
	at       clock.Instant
	upstream string
	// sightings are the parts of the requests that were in progress.
	sightings map[promptID][]Part
	// pieces are the parts received so far of requests that peers report in several
	// facts.
	pieces map[pieceKey][]Part
	// size is the number of parts in sightings and pieces.
	size int
}

// pieceKey identifies what one router reports of a request in several facts. Routers
// leave out different parts that they know to be sound.
type pieceKey struct {
	prompt promptID
	total  int
}

// AddCrash adds the requests of this router that were in progress when an
// incarnation of an upstream ended, given by their parts.
func (q *Quarantine) AddCrash(now clock.Instant, id Crash, at clock.Instant, upstream string, requests [][]Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, parts := range requests {
		parts = normalize(parts)
		q.addSighting(now, id, at, upstream, promptOf(parts), parts)
	}
	q.reconsider(now)
}

// addSighting adds a request that was in progress at a crash. Nothing happens if it
// is known already.
func (q *Quarantine) addSighting(now clock.Instant, id Crash, at clock.Instant, upstream string, prompt promptID, parts []Part) {
	if !q.accuses(parts, at) {
		return
	}
	id, c := q.crashFor(id, at, upstream)
	if c.sightings[prompt] != nil || len(c.sightings) >= maxSightingsPerCrash {
		return
	}
	if parts = q.reduce(parts, at, min(maxSightingParts, maxCrashParts-c.size)); len(parts) == 0 {
		return
	}
	c.sightings[prompt], q.changed = parts, true
	q.grow(c, len(parts))
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
	q.tell(news{kind: crashNews, crash: id, prompt: prompt})
	for _, p := range parts {
		// An earlier success is no proof, but makes other parts more suspicious.
		if _, known := q.sound[p]; known {
			q.tellSound(p)
		}
	}
}

// addPiece adds some of the parts of a request that was in progress at a crash, of which
// the peer reports the given total in several facts.
func (q *Quarantine) addPiece(now clock.Instant, id Crash, at clock.Instant, upstream string, key pieceKey, parts []Part) {
	id, c := q.crashFor(id, at, upstream)
	if c.sightings[key.prompt] != nil {
		return
	}
	known := c.pieces[key]
	if known == nil && len(c.pieces) >= maxSightingsPerCrash || c.size+len(parts) > maxCrashParts {
		return
	}
	merged := normalize(slices.Concat(known, parts))
	q.grow(c, len(merged)-len(known))
	if len(merged) < key.total {
		c.pieces[key] = merged
		return
	}
	delete(c.pieces, key)
	q.grow(c, -len(merged))
	q.addSighting(now, id, at, upstream, key.prompt, merged)
}

// crashFor returns the evidence of a crash with the ID under which it is known, and adds
// the crash if it is new.
func (q *Quarantine) crashFor(id Crash, at clock.Instant, upstream string) (Crash, *crash) {
	id = q.knownCrash(id, at, upstream)
	c := q.crashes[id]
	if c == nil {
		if len(q.crashes) >= maxCrashes {
			q.dropOldestCrash(nil)
		}
		c = &crash{at: at, upstream: upstream, sightings: map[promptID][]Part{}, pieces: map[pieceKey][]Part{}}
		q.crashes[id] = c
	}
	return id, c
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

// reduce returns the parts to keep of a request that was in progress at a crash. Of more
// than a fact holds, those that are sound are left out, and of more than limit those that
// were sound before.
func (q *Quarantine) reduce(parts []Part, at clock.Instant, limit int) []Part {
	if len(parts) > maxParts {
		parts = slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return q.soundAt(p, at) })
	}
	if len(parts) > limit {
		parts = slices.DeleteFunc(slices.Clone(parts), q.wasSound)
	}
	return parts[:min(len(parts), max(limit, 0))]
}

// grow counts parts that were added to a crash, and makes room by leaving out what is
// sound by now, and then by dropping the oldest other crashes.
func (q *Quarantine) grow(c *crash, n int) {
	c.size += n
	if q.size += n; q.size <= maxEvidenceParts {
		return
	}
	for _, o := range q.crashes {
		q.prune(o)
	}
	for q.size > maxEvidenceParts && len(q.crashes) > 1 {
		q.dropOldestCrash(c)
	}
}

// prune leaves out the parts of the requests at a crash that are sound by now.
func (q *Quarantine) prune(c *crash) {
	for prompt, parts := range c.sightings {
		kept := slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return q.soundAt(p, c.at) })
		if n := len(parts) - len(kept); n > 0 {
			c.size -= n
			q.size -= n
			c.sightings[prompt] = kept
		}
		if len(kept) == 0 {
			delete(c.sightings, prompt)
		}
	}
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

// dropOldestCrash drops the oldest crash except one.
func (q *Quarantine) dropOldestCrash(except *crash) {
	var oldest Crash
	for id, c := range q.crashes {
		if o := q.crashes[oldest]; c != except && (o == nil || c.at < o.at) {
			oldest = id
		}
	}
	q.dropCrash(oldest)
}

func (q *Quarantine) dropCrash(id Crash) {
	if c := q.crashes[id]; c != nil {
		q.size -= c.size
		delete(q.crashes, id)
		q.changed = true
	}
}
