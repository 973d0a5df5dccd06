package directory

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
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
}

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

// Put applies one registration.
func (d *Directory) Put(now clock.Instant, e Entry) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.put(now, e, nil)
	d.index()
	return changes
}

// Remove applies the removal of one registration.
func (d *Directory) Remove(now clock.Instant, id string, revision uint64) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.remove(now, id, revision, nil)
	d.index()
	return changes
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
	u := &Upstream{entry: e}
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

// index rebuilds what is derived from the upstreams: the lists by service and
// the hash.
func (d *Directory) index() {
	services, known := map[string][]*Upstream{}, map[string][]*Upstream{}
	hash := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		u := d.upstreams[id]
		if u.vanished == 0 {
			// A hash never returns an error.
			_, _ = fmt.Fprintf(hash, "%s %d %t %t\n", id, u.entry.Born, u.entry.Leaving, u.entry.ColdFor > 0)
		}
		known[u.entry.Service] = append(known[u.entry.Service], u)
		if u.entry.Leaving || d.evacuated[u.entry.FailureDomain] {
			continue
		}
		services[u.entry.Service] = append(services[u.entry.Service], u)
	}
	d.services, d.known, d.hash = services, known, hash.Sum64()
}
