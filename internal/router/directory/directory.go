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

// returnGrace is how long an upstream that vanished during an outage of the
// platform's store may take to register again after the store's return. The
// platform promises about two seconds.
const returnGrace = 2200 * time.Millisecond

// Entry is one upstream as it registered itself.
type Entry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// ColdFor is how much longer the upstream is in cold start.
	ColdFor time.Duration
	// Heartbeat counts the registrations of one incarnation.
	Heartbeat uint64
	// Revision orders the changes of the registration, 0 if unknown.
	Revision uint64
	// Born identifies the incarnation by its start in Unix milliseconds, 0 if unknown.
	Born int64
}

// Upstream is an immutable snapshot of one upstream.
type Upstream struct {
	entry     Entry
	coldUntil clock.Instant
	vanished  clock.Instant
	// key and engine are computed once, since each request compares them.
	key    uint64
	engine prefix.EngineID
}

func newUpstream(e Entry) *Upstream {
	return &Upstream{entry: e, key: xxhash.Sum64String(e.ID), engine: prefix.EngineIDOf(e.ID, e.Born)}
}

// Key returns the hash of the identity.
func (u *Upstream) Key() uint64 { return u.key }

// Engine returns the identity of the incarnation, by which routers tell each
// other of the parts of prompts that it has read.
func (u *Upstream) Engine() prefix.EngineID { return u.engine }

// ID returns the upstream's identity, which changes with most restarts.
func (u *Upstream) ID() string { return u.entry.ID }

// Born returns the incarnation, the Unix millisecond of the start.
func (u *Upstream) Born() int64 { return u.entry.Born }

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
	What  string
	Entry Entry
}

// Directory is safe for concurrent use.
type Directory struct {
	mu        sync.RWMutex
	upstreams map[string]*Upstream
	services  map[string][]*Upstream
	known     map[string][]*Upstream
	engines   map[prefix.EngineID]*Upstream
	// hash is what Hash returns, kept since each change asks for it twice.
	hash uint64
	// revisions are those of the last change of each upstream, also of removed
	// ones, so that a delayed change cannot bring one back.
	revisions map[string]uint64
	evacuated map[string]bool
	// returned is when the store was last back after an outage.
	returned clock.Instant
}

// maxRevisions bounds the memory of removed upstreams.
const maxRevisions = 1 << 16

// New returns an empty directory.
func New() *Directory {
	d := &Directory{upstreams: map[string]*Upstream{}, evacuated: map[string]bool{}, revisions: map[string]uint64{}}
	d.index()
	return d
}

// Outage notes that the store is known to have been away until now.
func (d *Directory) Outage(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returned = now
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
		changes = d.put(now, e, changes)
	}
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		if !present[id] {
			changes = d.remove(now, id, revision, changes)
		}
	}
	d.index()
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
func (d *Directory) Apply(now clock.Instant, updates []Update) (changes []Change, news []Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range updates {
		before := d.upstreams[u.ID].digest()
		if u.Entry == nil {
			changes = d.remove(now, u.ID, u.Revision, changes)
		} else {
			changes = d.put(now, *u.Entry, changes)
		}
		if d.upstreams[u.ID].digest() != before {
			news = append(news, u)
		}
	}
	if len(news) > 0 || len(changes) > 0 {
		d.index()
	}
	return changes, news
}

// Tick drops upstreams that did not return after an outage.
func (d *Directory) Tick(now clock.Instant) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		if u := d.upstreams[id]; u.vanished != 0 && now.Sub(d.returned) >= returnGrace {
			changes = d.drop(id, "gone", changes)
		}
	}
	if changes != nil {
		d.index()
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
		d.index()
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
	return d.services[service]
}

// Known returns all upstreams of a service, also those that receive no new
// work. The slice must not be changed.
func (d *Directory) Known(service string) []*Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.known[service]
}

// Engine returns the upstream with an engine's identity, or nil.
func (d *Directory) Engine(e prefix.EngineID) *Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.engines[e]
}

// IDs returns the identities of all known upstreams, leaving ones included.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.upstreams))
}

// stale reports whether a change of an upstream is older than the last one,
// and notes it otherwise. Revision 0 is never stale.
func (d *Directory) stale(id string, revision uint64) bool {
	if revision == 0 {
		return false
	}
	if revision < d.revisions[id] {
		return true
	}
	if len(d.revisions) >= maxRevisions {
		maps.DeleteFunc(d.revisions, func(id string, _ uint64) bool { return d.upstreams[id] == nil })
	}
	d.revisions[id] = revision
	return false
}

func (d *Directory) put(now clock.Instant, e Entry, changes []Change) []Change {
	if d.stale(e.ID, e.Revision) {
		return changes
	}
	old := d.upstreams[e.ID]
	u := newUpstream(e)
	if e.ColdFor > 0 {
		u.coldUntil = now.Add(e.ColdFor)
	}
	if old == nil {
		d.upstreams[e.ID] = u
		return append(changes, Change{e.ID, "new", e})
	}
	sameLife := old.entry.Born == e.Born
	if e.Born < old.entry.Born || sameLife && e.Heartbeat < old.entry.Heartbeat {
		// A delayed write of an earlier state.
		return changes
	}
	if sameLife && old.entry.Leaving {
		// Leaving is final for one incarnation.
		u.entry.Leaving = true
	}
	if sameLife && e.Heartbeat == old.entry.Heartbeat {
		u.coldUntil = old.coldUntil
	}
	d.upstreams[e.ID] = u
	switch {
	case !sameLife:
		changes = append(changes, Change{e.ID, "restarted", u.entry})
	case u.entry.Leaving != old.entry.Leaving:
		changes = append(changes, Change{e.ID, "leaving", u.entry})
	case old.vanished != 0:
		changes = append(changes, Change{e.ID, "back", u.entry})
	case u.Cold(now) && !old.Cold(now):
		changes = append(changes, Change{e.ID, "cold", u.entry})
	}
	return changes
}

func (d *Directory) remove(now clock.Instant, id string, revision uint64, changes []Change) []Change {
	u := d.upstreams[id]
	if d.stale(id, revision) || u == nil || u.vanished != 0 {
		return changes
	}
	if !u.entry.Leaving && d.returned != 0 && now.Sub(d.returned) < returnGrace {
		missing := *u
		missing.vanished = now
		d.upstreams[id] = &missing
		return append(changes, Change{id, "missing", u.entry})
	}
	return d.drop(id, "gone", changes)
}

func (d *Directory) drop(id, what string, changes []Change) []Change {
	changes = append(changes, Change{id, what, d.upstreams[id].entry})
	delete(d.upstreams, id)
	return changes
}

// digest returns a hash of what the store says of the upstream, as far as it
// decides whether it receives work, 0 for none.
func (u *Upstream) digest() uint64 {
	if u == nil || u.vanished != 0 {
		return 0
	}
	h := uint64(u.engine)
	if u.entry.Leaving {
		h ^= leavingBit
	}
	if u.entry.ColdFor > 0 {
		h ^= coldBit
	}
	// The multiplication spreads the bits, so that a sum of digests tells sets
	// of upstreams apart.
	return h*spreadBits | 1
}

const (
	leavingBit = 1 << 1
	coldBit    = 1 << 2
	// spreadBits is an odd number without a pattern in its bits, the golden
	// ratio's fraction.
	spreadBits = 0x9e3779b97f4a7c15
)

// index rebuilds what is derived from the upstreams: the lists by service and
// the hash.
func (d *Directory) index() {
	services, known, engines := map[string][]*Upstream{}, map[string][]*Upstream{}, map[prefix.EngineID]*Upstream{}
	hash := uint64(0)
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		u := d.upstreams[id]
		hash += u.digest()
		engines[u.Engine()] = u
		known[u.entry.Service] = append(known[u.entry.Service], u)
		if u.entry.Leaving || d.evacuated[u.entry.FailureDomain] {
			continue
		}
		services[u.entry.Service] = append(services[u.entry.Service], u)
	}
	d.services, d.known, d.engines, d.hash = services, known, engines, hash
}
