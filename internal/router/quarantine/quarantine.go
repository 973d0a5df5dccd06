package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// minCrashes is the number of crashes after which parts are quarantined, and
	// manyCrashes that for parts that were sound before, or that cannot be told from
	// others with the same crashes.
	minCrashes  = 3
	manyCrashes = 5
	// minPrompts is the number of requests with different parts, and minOtherCrashes that
	// of crashes without a larger set, that show that a set crashes upstreams by itself.
	minPrompts      = 2
	minOtherCrashes = 2
	// minSpan is the time that these crashes must span. Peers need it to report a
	// part as sound when many upstreams crash at once for another reason.
	minSpan = 300 * time.Millisecond
	// priorSuccess is the time before the first crash in which a success shows that only
	// some requests crash upstreams.
	priorSuccess = 10 * time.Second
	// learnTime is the time from a router's first success after which it knows the parts
	// that are often sound.
	learnTime = 5 * time.Second
	// settleTime is the time after the last crash from which many crashes count that
	// happened within minSpan.
	settleTime = time.Second
	// evidenceDelay is the time after a crash from which it counts. Until then other
	// routers may report more requests that were in progress.
	evidenceDelay = 250 * time.Millisecond
	// sameCrash is the time within which reports on one upstream are about the same
	// crash. A restart takes longer.
	sameCrash = 500 * time.Millisecond
	// soundMargin is the time after a request succeeded for which its parts still
	// count as sound.
	soundMargin = 500 * time.Millisecond
	// minQuarantine and maxQuarantine limit the time until a probe.
	minQuarantine = time.Minute
	maxQuarantine = 16 * time.Minute
	// probeInterval is the time between two probes, in which the outcome of the
	// first becomes known.
	probeInterval = 15 * time.Second
	// probeRetryAfter is the time after which a caller that was refused between two
	// probes may ask again.
	probeRetryAfter = 5 * time.Second
	// probation is how long a set that nobody probes stays quarantined.
	probation = 10 * time.Minute
	// evidenceTTL is how long crashes count.
	evidenceTTL = 10 * time.Minute
	// successTTL is how long successes of parts without evidence are kept, and
	// crowdedSuccessTTL while there are too many.
	successTTL        = 2 * time.Minute
	crowdedSuccessTTL = 5 * time.Second
	// replyInterval is the time between two replies to peers that quarantine a part
	// which is sound.
	replyInterval = time.Second

	// forgetInterval is the least time between two searches for successes to drop while
	// there are too many.
	forgetInterval = time.Second
	// decideInterval is the least time between two decisions on much evidence, which is
	// evidence with more than muchEvidence parts.
	decideInterval = 250 * time.Millisecond
	muchEvidence   = 4 << 10

	maxEntries            = 64
	maxSound              = 1 << 16
	maxChanges            = 256
	maxUpstreamsPerChange = 5
)

// Entry is a quarantined set of parts. Requests that have all of them are refused.
type Entry struct {
	parts []Part
	// crashes counts the crashes that are the evidence, and upstreams names some
	// of the upstreams.
	crashes   int
	upstreams []string
	firstAt   clock.Instant
	lastAt    clock.Instant
	// until is the time of the first probe, and nextProbe that of the next one.
	until     clock.Instant
	nextProbe clock.Instant
	// failedProbes counts the probes that crashed an upstream.
	failedProbes int
}

// Parts returns the parts of the set in ascending order.
func (e Entry) Parts() []Part { return e.parts }

// Crashes returns the number of crashes that are the evidence.
func (e Entry) Crashes() int { return e.crashes }

// Upstreams returns the IDs of some of the upstreams that crashed.
func (e Entry) Upstreams() []string { return e.upstreams }

// EvidenceAge returns the times since the first and the last crash.
func (e Entry) EvidenceAge(now clock.Instant) (first, last time.Duration) {
	return now.Sub(e.firstAt), now.Sub(e.lastAt)
}

// TimeLeft returns the time until the set may be probed.
func (e Entry) TimeLeft(now clock.Instant) time.Duration { return max(0, e.until.Sub(now)) }

// RetryAfter returns when a caller whose request is refused should ask again.
func (e Entry) RetryAfter(now clock.Instant) time.Duration {
	return max(e.TimeLeft(now), probeRetryAfter)
}

// FailedProbes returns the number of probes that crashed an upstream.
func (e Entry) FailedProbes() int { return e.failedProbes }

// Fields returns what the log and the metrics show of the set: its parts, the evidence
// with its age, and the time left, in ms.
func (e Entry) Fields(now clock.Instant) map[string]any {
	first, last := e.EvidenceAge(now)
	names := make([]string, len(e.parts))
	for i, p := range e.parts {
		names[i] = string(p)
	}
	return map[string]any{
		"parts": strings.Join(names, "+"), "crashes": e.crashes, "upstreams": strings.Join(e.upstreams, " "), "failed_probes": e.failedProbes,
		"first_crash_ms": first.Milliseconds(), "last_crash_ms": last.Milliseconds(), "left_ms": e.TimeLeft(now).Milliseconds(),
	}
}

// Kinds of changes.
const (
	// Quarantined means that a set is refused from now on.
	Quarantined = "quarantined"
	// Narrowed means that a part of a set is sound.
	Narrowed = "narrowed"
	// Extended means that a probe crashed an upstream.
	Extended = "extended"
	// Released means that all parts of a set are sound.
	Released = "released"
	// Superseded means that another set explains all crashes of a set.
	Superseded = "superseded"
	// Expired means that nobody requested a set for a long time.
	Expired = "expired"
)

// Change is a change of the quarantined sets, for the log.
type Change struct {
	Kind  string
	Entry Entry
	// FromPeer is set if a peer made the decision.
	FromPeer bool
}

// Quarantine holds the evidence and the quarantined sets. It is safe for concurrent
// use.
type Quarantine struct {
	mu      sync.Mutex
	crashes map[Crash]*crash
	// size is the number of parts in crashes.
	size    int
	entries map[string]*Entry
	// sound maps parts to the last time at which a response to a request with them
	// began and then completed.
	sound map[Part]clock.Instant
	// told maps parts to the newest time in sound that peers have been told.
	told map[Part]clock.Instant
	// replied maps parts to the last reply to a peer that quarantines them.
	replied map[Part]clock.Instant
	// accused holds the parts against which there is evidence.
	accused map[Part]bool
	// firstSuccess is when the first request of this router succeeded, and lastSuccess the
	// newest time in sound, also of parts that were forgotten. Both are 0 before.
	firstSuccess, lastSuccess clock.Instant
	// changed is set if evidence was added or invalidated since the last decision, which
	// was made at decidedAt.
	changed   bool
	decidedAt clock.Instant
	// forgotAt is when successes were last dropped because there were too many.
	forgotAt clock.Instant
	// matureAt is when a crash begins to count, or to count for more, 0 if none will.
	matureAt clock.Instant
	// awaitsSuccess is set while a decision lacks only a success of another request.
	awaitsSuccess bool
	news          []news
	changes       []Change
	wake          chan struct{}
}

// New returns a Quarantine without evidence.
func New() *Quarantine {
	return &Quarantine{
		crashes: map[Crash]*crash{}, entries: map[string]*Entry{}, sound: map[Part]clock.Instant{}, told: map[Part]clock.Instant{},
		replied: map[Part]clock.Instant{}, accused: map[Part]bool{}, wake: make(chan struct{}, 1),
	}
}

// Empty reports whether no set is quarantined.
func (q *Quarantine) Empty(now clock.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reconsider(now)
	return len(q.entries) == 0
}

// Check returns the quarantined set that forbids a request with these parts, which are as
// NewParts returns them, and false if there is none. mayProbe reports whether this router
// is the one that probes a set, given its key; the request is then allowed once in each
// probeInterval after the time of the quarantine.
func (q *Quarantine) Check(now clock.Instant, parts []Part, mayProbe func(key string) bool) (Entry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reconsider(now)
	for key, e := range q.entries {
		if !containsAll(parts, e.parts) {
			continue
		}
		if now >= e.until && now >= e.nextProbe && mayProbe(key) {
			e.nextProbe = now.Add(probeInterval)
			continue
		}
		return *e, true
	}
	return Entry{}, false
}

// Forbids returns the quarantined set that a request with these parts has, and false
// if there is none or it may be probed. It serves to check a request again that Check
// allowed.
func (q *Quarantine) Forbids(now clock.Instant, parts []Part) (Entry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reconsider(now)
	for _, e := range q.entries {
		if now < e.until && containsAll(parts, e.parts) {
			return *e, true
		}
	}
	return Entry{}, false
}

// Entries returns the quarantined sets, the newest evidence first.
func (q *Quarantine) Entries() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sortedEntries()
}

func (q *Quarantine) sortedEntries() []Entry {
	list := make([]Entry, 0, len(q.entries))
	for _, key := range slices.Sorted(maps.Keys(q.entries)) {
		list = append(list, *q.entries[key])
	}
	slices.SortStableFunc(list, func(a, b Entry) int { return int(b.lastAt.Sub(a.lastAt)) })
	return list
}

// RecordSuccess records that the response to a request with these parts began at a
// time and completed since.
func (q *Quarantine) RecordSuccess(now, began clock.Instant, parts []Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.firstSuccess == 0 {
		q.firstSuccess = now
	}
	for _, p := range parts {
		if _, known := q.sound[p]; !known && len(q.sound) >= maxSound {
			if now.Sub(q.forgotAt) >= forgetInterval {
				q.forgotAt = now
				q.forgetSuccesses(now, crowdedSuccessTTL)
			}
			if len(q.sound) >= maxSound && !q.accused[p] {
				continue
			}
		}
		q.recordSound(p, began)
		if q.accused[p] {
			q.tellSound(p)
		}
	}
	q.reconsider(now)
}

func (q *Quarantine) recordSound(p Part, at clock.Instant) {
	q.changed = q.changed || q.accused[p] || q.awaitsSuccess
	q.sound[p] = max(q.sound[p], at)
	q.lastSuccess = max(q.lastSuccess, at)
}

// wasSound reports whether a part is known to have been sound at any time.
func (q *Quarantine) wasSound(p Part) bool {
	_, known := q.sound[p]
	return known
}

// soundAt reports whether a crash at a time is no evidence against a part.
func (q *Quarantine) soundAt(p Part, at clock.Instant) bool {
	s, ok := q.sound[p]
	return ok && at <= s.Add(soundMargin)
}

// forgetSuccesses drops the successes that are older than a time and not needed to
// judge the evidence.
func (q *Quarantine) forgetSuccesses(now clock.Instant, ttl time.Duration) {
	seen := map[Part]bool{}
	for _, c := range q.crashes {
		for _, parts := range c.sightings {
			for _, p := range parts {
				seen[p] = true
			}
		}
	}
	for p, at := range q.sound {
		age := now.Sub(at)
		if age > evidenceTTL || age > ttl && !seen[p] && !q.accused[p] {
			delete(q.sound, p)
			delete(q.told, p)
			delete(q.replied, p)
		}
	}
}

// Expire drops what is too old.
func (q *Quarantine) Expire(now clock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, c := range q.crashes {
		if now.Sub(c.at) > evidenceTTL {
			q.dropCrash(id)
		}
	}
	q.forgetSuccesses(now, successTTL)
	for key, e := range q.entries {
		if now.Sub(e.until) > probation {
			delete(q.entries, key)
			q.report(Change{Kind: Expired, Entry: *e})
			q.changed = true
		}
	}
	q.reconsider(now)
}

// report queues a change for TakeChanges. Changes beyond maxChanges are dropped.
func (q *Quarantine) report(c Change) {
	if len(q.changes) < maxChanges {
		q.changes = append(q.changes, c)
	}
	q.notify()
}

// TakeChanges returns the changes since the last call.
func (q *Quarantine) TakeChanges() []Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	changes := q.changes
	q.changes = nil
	return changes
}

// Wake returns a channel that receives a value when there are facts for peers or
// changes.
func (q *Quarantine) Wake() <-chan struct{} { return q.wake }

func (q *Quarantine) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
