package directory

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// reregistrationGrace is how long an upstream that vanished during an outage of the
// platform's store may take to register again after the store's return. The
// platform promises about two seconds.
const reregistrationGrace = 2200 * time.Millisecond

// Entry is one upstream as it registered itself.
type Entry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// ColdRemaining is how much longer the upstream is in cold start.
	ColdRemaining time.Duration
	// Heartbeat counts the registrations of one incarnation.
	Heartbeat uint64
	// Revision orders the changes of the registration, 0 if unknown.
	Revision uint64
	// Incarnation identifies the incarnation by its start in Unix milliseconds, 0 if unknown.
	Incarnation int64
}

// Upstream is an immutable snapshot of one upstream.
type Upstream struct {
	entry        Entry
	coldUntil    clock.Instant
	missingSince clock.Instant
	// idHash and engine are computed once, since each request compares them.
	idHash uint64
	engine prefix.Engine
}

func newUpstream(e Entry) *Upstream {
	return &Upstream{entry: e, idHash: xxhash.Sum64String(e.ID), engine: prefix.EngineOf(e.ID, e.Incarnation)}
}

// IDHash returns the hash of the identity.
func (u *Upstream) IDHash() uint64 { return u.idHash }

// Engine returns the identity of the incarnation, by which routers tell each
// other of the parts of prompts that it has read.
func (u *Upstream) Engine() prefix.Engine { return u.engine }

// ID returns the upstream's identity, which changes with most restarts.
func (u *Upstream) ID() string { return u.entry.ID }

// Incarnation returns the incarnation, the Unix millisecond of the start.
func (u *Upstream) Incarnation() int64 { return u.entry.Incarnation }

// Address returns where the upstream listens, as IP:PORT.
func (u *Upstream) Address() string { return u.entry.Address }

// FailureDomain returns where the upstream runs.
func (u *Upstream) FailureDomain() string { return u.entry.FailureDomain }

// Slots returns how many requests the upstream runs at once.
func (u *Upstream) Slots() int { return u.entry.Slots }

// Service returns the service that the upstream belongs to.
func (u *Upstream) Service() string { return u.entry.Service }

// Cold reports whether the upstream is in cold start.
func (u *Upstream) Cold(now clock.Instant) bool { return now < u.coldUntil }

// Change is one difference between two states of the directory, for the log.
type Change struct {
	ID    string
	Kind  string
	Entry Entry
}

// Directory is safe for concurrent use.
type Directory struct {
	mu        sync.RWMutex
	upstreams map[string]*Upstream
	receiving map[string][]*Upstream
	byService map[string][]*Upstream
	byEngine  map[prefix.Engine]*Upstream
	// hash is what Hash returns, kept since each change asks for it twice.
	hash uint64
	// lastRevisions are those of the last change of each upstream, also of removed
	// ones, so that a delayed change cannot bring one back.
	lastRevisions map[string]uint64
	evacuated     map[string]bool
	// storeReturnedAt is when the store was last back after an outage.
	storeReturnedAt clock.Instant
}

// maxRevisions bounds the memory of removed upstreams.
const maxRevisions = 1 << 16

// New returns an empty directory.
func New() *Directory {
	d := &Directory{upstreams: map[string]*Upstream{}, evacuated: map[string]bool{}, lastRevisions: map[string]uint64{}}
	d.rebuildIndex()
	return d
}

// StoreReturned notes that the store is known to have been away until now.
func (d *Directory) StoreReturned(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeReturnedAt = now
}

// Replace applies a whole listing as of a revision: entries that are missing
// are gone, unless they may still return after an outage of the store.
func (d *Directory) Replace(now clock.Instant, entries []Entry, revision uint64) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	present := map[string]bool{}
	for _, e := range entries {
		present[e.ID] = true
		changes = d.upsert(now, e, changes)
	}
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		if !present[id] {
			changes = d.remove(now, id, revision, changes)
		}
	}
	d.rebuildIndex()
	return changes
}

// Update is a change of one registration.
type Update struct {
	ID string
	// Entry is the new registration, nil if it was removed or names no upstream.
	Entry *Entry
	// Revision orders the changes, 0 if unknown.
	Revision uint64
}

// Apply applies changes of registrations. It returns what changed, and which of
// the updates were news: those after which the store's state is another one.
func (d *Directory) Apply(now clock.Instant, updates []Update) (changes []Change, effective []Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range updates {
		before := d.upstreams[u.ID].stateHash()
		if u.Entry == nil {
			changes = d.remove(now, u.ID, u.Revision, changes)
		} else {
			changes = d.upsert(now, *u.Entry, changes)
		}
		if d.upstreams[u.ID].stateHash() != before {
			effective = append(effective, u)
		}
	}
	if len(effective) > 0 || len(changes) > 0 {
		d.rebuildIndex()
	}
	return changes, effective
}

// ExpireMissing drops upstreams that did not return after an outage.
func (d *Directory) ExpireMissing(now clock.Instant) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		if u := d.upstreams[id]; u.missingSince != 0 && now.Sub(d.storeReturnedAt) >= reregistrationGrace {
			changes = d.deleteUpstream(id, "gone", changes)
		}
	}
	if changes != nil {
		d.rebuildIndex()
	}
	return changes
}

// SetEvacuated replaces the set of failure domains that are out of service.
func (d *Directory) SetEvacuated(domains map[string]bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	same := maps.Equal(d.evacuated, domains)
	d.evacuated = domains
	if !same {
		d.rebuildIndex()
	}
	return !same
}

// Evacuated returns the failure domains that are out of service, sorted.
func (d *Directory) Evacuated() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.evacuated))
}

// Hash returns a hash of what the store says of the upstreams, as far as it
// decides which receive work. Routers with equal hashes know the same.
func (d *Directory) Hash() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.hash
}

// Receiving returns the upstreams of a service that may receive new work. The
// slice must not be changed.
func (d *Directory) Receiving(service string) []*Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.receiving[service]
}

// Known returns all upstreams of a service, also those that receive no new
// work. The slice must not be changed.
func (d *Directory) Known(service string) []*Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service]
}

// Engine returns the upstream with an engine's identity, or nil.
func (d *Directory) Engine(e prefix.Engine) *Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byEngine[e]
}

// IDs returns the identities of all known upstreams, leaving ones included.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.upstreams))
}

// isStale reports whether a change of an upstream is older than the last one,
// and notes it otherwise. Revision 0 is never stale.
func (d *Directory) isStale(id string, revision uint64) bool {
	if revision == 0 {
		return false
	}
	if revision < d.lastRevisions[id] {
		return true
	}
	if len(d.lastRevisions) >= maxRevisions {
		maps.DeleteFunc(d.lastRevisions, func(id string, _ uint64) bool { return d.upstreams[id] == nil })
	}
	d.lastRevisions[id] = revision
	return false
}

func (d *Directory) upsert(now clock.Instant, e Entry, changes []Change) []Change {
	if d.isStale(e.ID, e.Revision) {
		return changes
	}
	old := d.upstreams[e.ID]
	u := newUpstream(e)
	if e.ColdRemaining > 0 {
		u.coldUntil = now.Add(e.ColdRemaining)
	}
	if old == nil {
		d.upstreams[e.ID] = u
		return append(changes, Change{e.ID, "new", e})
	}
	sameIncarnation := old.entry.Incarnation == e.Incarnation
	if e.Incarnation < old.entry.Incarnation || sameIncarnation && e.Heartbeat < old.entry.Heartbeat {
		// A delayed write of an earlier state.
		return changes
	}
	if sameIncarnation && old.entry.Draining {
		// Leaving is final for one incarnation.
		u.entry.Draining = true
	}
	if sameIncarnation && e.Heartbeat == old.entry.Heartbeat {
		u.coldUntil = old.coldUntil
	}
	d.upstreams[e.ID] = u
	switch {
	case !sameIncarnation:
		changes = append(changes, Change{e.ID, "restarted", u.entry})
	case u.entry.Draining != old.entry.Draining:
		changes = append(changes, Change{e.ID, "leaving", u.entry})
	case old.missingSince != 0:
		changes = append(changes, Change{e.ID, "back", u.entry})
	case u.Cold(now) && !old.Cold(now):
		changes = append(changes, Change{e.ID, "cold", u.entry})
	}
	return changes
}

func (d *Directory) remove(now clock.Instant, id string, revision uint64, changes []Change) []Change {
	u := d.upstreams[id]
	if d.isStale(id, revision) || u == nil || u.missingSince != 0 {
		return changes
	}
	if !u.entry.Draining && d.storeReturnedAt != 0 && now.Sub(d.storeReturnedAt) < reregistrationGrace {
		missing := *u
		missing.missingSince = now
		d.upstreams[id] = &missing
		return append(changes, Change{id, "missing", u.entry})
	}
	return d.deleteUpstream(id, "gone", changes)
}

func (d *Directory) deleteUpstream(id, kind string, changes []Change) []Change {
	changes = append(changes, Change{id, kind, d.upstreams[id].entry})
	delete(d.upstreams, id)
	return changes
}

// stateHash returns a hash of what the store says of the upstream, as far as it
// decides whether it receives work, 0 for none.
func (u *Upstream) stateHash() uint64 {
	if u == nil || u.missingSince != 0 {
		return 0
	}
	h := uint64(u.engine)
	if u.entry.Draining {
		h ^= drainingBit
	}
	if u.entry.ColdRemaining > 0 {
		h ^= coldBit
	}
	// The multiplication spreads the bits, so that a sum of digests tells sets
	// of upstreams apart.
	return h*hashMultiplier | 1
}

const (
	drainingBit = 1 << 1
	coldBit     = 1 << 2
	// hashMultiplier is an odd number without a pattern in its bits, the golden
	// ratio's fraction.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// rebuildIndex rebuilds what is derived from the upstreams: the lists by service and
// the hash.
func (d *Directory) rebuildIndex() {
	receiving, byService, byEngine := map[string][]*Upstream{}, map[string][]*Upstream{}, map[prefix.Engine]*Upstream{}
	hash := uint64(0)
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		u := d.upstreams[id]
		hash += u.stateHash()
		byEngine[u.Engine()] = u
		byService[u.entry.Service] = append(byService[u.entry.Service], u)
		if u.entry.Draining || d.evacuated[u.entry.FailureDomain] {
			continue
		}
		receiving[u.entry.Service] = append(receiving[u.entry.Service], u)
	}
	d.receiving, d.byService, d.byEngine, d.hash = receiving, byService, byEngine, hash
}
