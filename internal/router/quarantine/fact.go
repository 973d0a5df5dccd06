package quarantine

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// maxNews limits the facts that wait to be sent to peers.
	maxNews = 4 << 10
	// maxSnapshot limits the quarantined sets in a snapshot to those that fit in a
	// few datagrams.
	maxSnapshot = 16
	// toldMargin is the difference below which two times of a success count as the
	// same, since the delay of messages is unknown.
	toldMargin = soundMargin / 2
	// maxUpstreamBytes limits the length of an upstream's ID in a fact.
	maxUpstreamBytes = 128
	// maxCount limits the numbers in a fact.
	maxCount = 1 << 16
)

// Kinds of facts, which peers exchange.
const (
	crashNews = "crash"
	soundNews = "sound"
	entryNews = "quarantine"
)

var errInvalidFact = errors.New("invalid fact")

// news is a fact that waits to be sent to peers.
type news struct {
	kind  string
	crash Crash
	// prompt identifies the request in progress at the crash, and key the set.
	prompt promptID
	key    string
	part   Part
}

// Fact is what routers tell each other: a request that was in progress at a crash, a
// sound part, or a quarantined set. Times are ages in ms, since routers have
// different clocks. The JSON names are short since many facts share a datagram.
type Fact struct {
	Kind  string `json:"t"`
	Parts []Part `json:"p"`
	// AgeMS is the age of the crash, of the success, or of the last crash.
	AgeMS int64 `json:"a"`
	Crash Crash `json:"c,omitempty,string"`
	// Prompt identifies the request at the crash if its parts take several facts, and
	// Total is the number of these parts. Both are 0 if Parts are all of them. A router
	// that does not know the fields takes each fact for a request of its own.
	Prompt promptID `json:"r,omitempty,string"`
	Total  int      `json:"m,omitempty"`
	// Upstreams holds the ID of the upstream that crashed, or of some of them.
	Upstreams []string `json:"u,omitempty"`
	Crashes   int      `json:"n,omitempty"`
	// FirstAgeMS is the age of the first crash.
	FirstAgeMS int64 `json:"f,omitempty"`
	// LeftMS is the time until a probe, negative after it.
	LeftMS       int64 `json:"l,omitempty"`
	FailedProbes int   `json:"k,omitempty"`
}

func (f Fact) check() error {
	if len(f.Parts) == 0 || len(f.Parts) > maxParts || len(f.Upstreams) > maxUpstreamsPerChange {
		return fmt.Errorf("%w: %d parts, %d upstreams", errInvalidFact, len(f.Parts), len(f.Upstreams))
	}
	for _, p := range f.Parts {
		if p == "" || len(p) > maxPartBytes {
			return fmt.Errorf("%w: part %.60q", errInvalidFact, p)
		}
	}
	for _, u := range f.Upstreams {
		if len(u) > maxUpstreamBytes {
			return fmt.Errorf("%w: upstream %.60q", errInvalidFact, u)
		}
	}
	if !between(f.AgeMS, 0, evidenceTTL+probation+maxQuarantine) || !between(f.FirstAgeMS, 0, math.MaxInt64) || !between(f.LeftMS, -probation, maxQuarantine) ||
		f.Total < 0 || f.Total > maxSightingParts || f.FailedProbes < 0 || f.FailedProbes > maxCount || f.Crashes < 0 || f.Crashes > maxCount {
		return fmt.Errorf("%w: numbers out of range", errInvalidFact)
	}
	switch f.Kind {
	case crashNews, soundNews, entryNews:
		return nil
	}
	return fmt.Errorf("%w: kind %.20q", errInvalidFact, f.Kind)
}

func between(ms int64, low, high time.Duration) bool {
	return ms >= low.Milliseconds() && ms <= high.Milliseconds()
}

// Encode encodes facts, several to a message of at most limit bytes, which begins
// with prefix.
func Encode(facts []Fact, prefix []byte, limit int) ([][]byte, error) {
	var messages [][]byte
	for _, f := range facts {
		line, err := json.Marshal(f)
		if err != nil {
			return nil, fmt.Errorf("encode fact on parts %q: %w", f.Parts, err)
		}
		last := len(messages) - 1
		if last < 0 || len(messages[last])+len(line)+1 > limit {
			messages = append(messages, bytes.Clone(prefix))
			last++
		}
		messages[last] = append(append(messages[last], line...), '\n')
	}
	return messages, nil
}

// Decode decodes the facts in a message of a peer without its prefix. A message with
// an invalid fact is rejected as a whole.
func Decode(message []byte) ([]Fact, error) {
	var facts []Fact
	for line := range bytes.Lines(message) {
		var f Fact
		if err := json.Unmarshal(line, &f); err != nil {
			return nil, fmt.Errorf("decode fact: %w", err)
		}
		if err := f.check(); err != nil {
			return nil, err
		}
		facts = append(facts, f)
	}
	return facts, nil
}

// tell queues a fact for peers. Facts beyond maxNews are dropped; a quarantined set
// still reaches all peers by snapshots.
func (q *Quarantine) tell(n news) {
	if len(q.news) < maxNews {
		q.news = append(q.news, n)
	}
	q.notify()
}

// tellSound queues that a part is sound, unless peers know it as of about the same
// time.
func (q *Quarantine) tellSound(p Part) {
	at := q.sound[p]
	if t, ok := q.told[p]; ok && at <= t.Add(toldMargin) {
		return
	}
	q.told[p] = at
	q.tell(news{kind: soundNews, part: p})
}

// TakeNews returns the facts that peers should be told and have not been since the
// last call.
func (q *Quarantine) TakeNews(now clock.Instant) []Fact {
	q.mu.Lock()
	defer q.mu.Unlock()
	var facts []Fact
	var sound []Part
	for _, n := range q.news {
		switch n.kind {
		case crashNews:
			facts = append(facts, q.crashFacts(now, n)...)
		case soundNews:
			if q.wasSound(n.part) {
				sound = append(sound, n.part)
			}
		case entryNews:
			if e := q.entries[n.key]; e != nil {
				facts = append(facts, e.fact(now))
			}
		}
	}
	q.news = nil
	return append(facts, q.soundFacts(now, sound)...)
}

// crashFacts returns a request that was in progress at a crash, in as many facts as its
// parts take.
func (q *Quarantine) crashFacts(now clock.Instant, n news) []Fact {
	c := q.crashes[n.crash]
	if c == nil {
		return nil
	}
	parts := c.sightings[n.prompt]
	var facts []Fact
	for piece := range slices.Chunk(parts, maxParts) {
		f := Fact{Kind: crashNews, Crash: n.crash, Parts: piece, AgeMS: age(now, c.at), Upstreams: []string{c.upstream}}
		if len(piece) < len(parts) || promptOf(parts) != n.prompt {
			f.Prompt, f.Total = n.prompt, len(parts)
		}
		facts = append(facts, f)
	}
	return facts
}

// soundFacts returns that parts are sound. Parts with about the same time of their last
// success share a fact.
func (q *Quarantine) soundFacts(now clock.Instant, parts []Part) []Fact {
	slices.SortStableFunc(parts, func(a, b Part) int { return cmp.Compare(q.sound[a], q.sound[b]) })
	var facts []Fact
	for len(parts) > 0 {
		at := q.sound[parts[0]]
		n := 1
		for n < min(len(parts), maxParts) && q.sound[parts[n]].Sub(at) < toldMargin {
			n++
		}
		facts = append(facts, Fact{Kind: soundNews, Parts: parts[:n], AgeMS: age(now, at)})
		parts = parts[n:]
	}
	return facts
}

// Snapshot returns the quarantined sets with the newest evidence as facts, for a peer
// that may have missed them.
func (q *Quarantine) Snapshot(now clock.Instant) []Fact {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.entries) == 0 {
		return nil
	}
	var facts []Fact
	entries := q.sortedEntries()
	for _, e := range entries[:min(len(entries), maxSnapshot)] {
		facts = append(facts, e.fact(now))
	}
	return facts
}

func (e Entry) fact(now clock.Instant) Fact {
	return Fact{
		Kind: entryNews, Parts: e.parts, AgeMS: age(now, e.lastAt), FirstAgeMS: age(now, e.firstAt), Upstreams: e.upstreams,
		Crashes: e.crashes, LeftMS: e.until.Sub(now).Milliseconds(), FailedProbes: e.failedProbes,
	}
}

func age(now, at clock.Instant) int64 { return max(0, now.Sub(at).Milliseconds()) }

// Merge adds the facts of a peer. Facts that are new are passed on.
func (q *Quarantine) Merge(now clock.Instant, facts []Fact) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range facts {
		at := now.Add(-time.Duration(f.AgeMS) * time.Millisecond)
		switch f.Kind {
		case crashNews:
			if now.Sub(at) <= evidenceTTL {
				q.mergeCrash(now, at, f)
			}
		case soundNews:
			q.mergeSound(at, f.Parts)
		case entryNews:
			q.mergeEntry(now, f)
		}
	}
	q.reconsider(now)
}

func (q *Quarantine) mergeCrash(now, at clock.Instant, f Fact) {
	parts := normalize(f.Parts)
	switch {
	case f.Total > len(parts):
		q.addPiece(now, f.Crash, at, f.upstream(), pieceKey{f.Prompt, f.Total}, parts)
	case f.Total > 0:
		q.addSighting(now, f.Crash, at, f.upstream(), f.Prompt, parts)
	default:
		q.addSighting(now, f.Crash, at, f.upstream(), promptOf(parts), parts)
	}
}

func (f Fact) upstream() string {
	if len(f.Upstreams) == 0 {
		return ""
	}
	return f.Upstreams[0]
}

func (q *Quarantine) mergeSound(at clock.Instant, parts []Part) {
	for _, p := range parts {
		if !q.wasSound(p) && len(q.sound) >= maxSound && !q.accused[p] {
			continue
		}
		q.recordSound(p, at)
		q.tellSound(p)
	}
}

// mergeEntry adopts a quarantined set, or what a peer knows more of it.
func (q *Quarantine) mergeEntry(now clock.Instant, f Fact) {
	lastAt := now.Add(-time.Duration(f.AgeMS) * time.Millisecond)
	parts := normalize(f.Parts)
	sound := slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return !q.soundAt(p, lastAt) })
	for _, p := range sound {
		// The peer may have started after the part was told to be sound.
		if r, ok := q.replied[p]; !ok || now.Sub(r) >= replyInterval {
			q.replied[p] = now
			delete(q.told, p)
			q.tellSound(p)
		}
	}
	if parts = slices.DeleteFunc(parts, func(p Part) bool { return slices.Contains(sound, p) }); len(parts) == 0 {
		return
	}
	key := setKey(parts)
	until := now.Add(time.Duration(f.LeftMS) * time.Millisecond)
	if e := q.entries[key]; e != nil {
		e.crashes, e.lastAt = max(e.crashes, f.Crashes), max(e.lastAt, lastAt)
		if f.FailedProbes > e.failedProbes {
			e.failedProbes, e.until = f.FailedProbes, max(e.until, until)
			q.tell(news{kind: entryNews, key: key})
			q.report(Change{Kind: Extended, Entry: *e, FromPeer: true})
		}
		return
	}
	if len(q.entries) >= maxEntries || now.Sub(until) > probation || q.covers(parts) {
		return
	}
	e := &Entry{
		parts: parts, crashes: f.Crashes, upstreams: f.Upstreams, firstAt: now.Add(-time.Duration(f.FirstAgeMS) * time.Millisecond),
		lastAt: lastAt, until: until, failedProbes: f.FailedProbes,
	}
	q.entries[key], q.changed = e, true
	q.tell(news{kind: entryNews, key: key})
	q.report(Change{Kind: Quarantined, Entry: *e, FromPeer: true})
}

// covers reports whether every request with the given parts is refused already.
func (q *Quarantine) covers(parts []Part) bool {
	for _, e := range q.entries {
		if containsAll(parts, e.parts) {
			return true
		}
	}
	return false
}
