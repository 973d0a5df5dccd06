package directory

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// reregistrationGrace is how long an upstream that disappeared during an outage
// of the platform's store may take to register again once the store is back. The
// platform promises about two seconds.
const reregistrationGrace = 2200 * time.Millisecond

// minColdRenewal is how much later a registration must end a cold start to count as a
// new one. The remaining time is stated in ms and arrives with a delay.
const minColdRenewal = 500 * time.Millisecond

// Entry is the registration of one upstream.
type Entry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// ColdRemaining is the remaining duration of the cold start.
	ColdRemaining time.Duration
	// Heartbeat counts the registrations of one incarnation.
	Heartbeat uint64
	// Revision orders the changes of the registration, 0 if unknown.
	Revision uint64
	// Incarnation is the start time in Unix milliseconds, which identifies the
	// incarnation, 0 if unknown.
	Incarnation int64
}

// Upstream is an immutable snapshot of one upstream.
type Upstream struct {
	entry        Entry
	coldUntil    clock.Instant
	missingSince clock.Instant
	// idHash and engine are computed once, since each request compares them.
	idHash uint64
	engine prefix.EngineID
}

func newUpstream(e Entry) *Upstream {
	return &Upstream{entry: e, idHash: xxhash.Sum64String(e.ID), engine: prefix.EngineIDOf(e.ID, e.Incarnation)}
}

// IDHash returns the hash of the upstream's ID, which stands for the ID in
// datagrams.
func (u *Upstream) IDHash() uint64 { return u.idHash }

// Engine returns the hash of ID and incarnation, by which routers report the
// prefixes that the upstream has cached.
func (u *Upstream) Engine() prefix.EngineID { return u.engine }

// ID returns the upstream's ID, which changes with most restarts.
func (u *Upstream) ID() string { return u.entry.ID }

// Incarnation returns the start time in Unix milliseconds, which identifies the
// incarnation.
func (u *Upstream) Incarnation() int64 { return u.entry.Incarnation }

// Address returns where the upstream listens, as IP:PORT.
func (u *Upstream) Address() string { return u.entry.Address }

// FailureDomain returns the failure domain of the upstream.
func (u *Upstream) FailureDomain() string { return u.entry.FailureDomain }

// Slots returns how many requests the upstream runs concurrently.
func (u *Upstream) Slots() int { return u.entry.Slots }

// Service returns the name of the upstream's service.
func (u *Upstream) Service() string { return u.entry.Service }

// Cold reports whether the upstream is in cold start.
func (u *Upstream) Cold(now clock.Instant) bool { return now < u.coldUntil }

// coldEnd returns the end of the cold start, 0 without an upstream.
func (u *Upstream) coldEnd() clock.Instant {
	if u == nil {
		return 0
	}
	return u.coldUntil
}

// Change is a change of one upstream in the directory, for the log.
type Change struct {
	ID    string
	Kind  string
	Entry Entry
}

// Directory holds the known upstreams and the evacuated failure domains. It is
// safe for concurrent use.
type Directory struct {
	mu        sync.RWMutex
	upstreams map[string]*Upstream
	receiving map[string][]*Upstream
	byService map[string][]*Upstream
	byEngine  map[prefix.EngineID]*Upstream
	// ids holds the sorted IDs, which housekeeping reads twice a second.
	ids []string
	// hash caches the result of Hash, which is read twice for each change.
	hash uint64
	// lastRevisions holds the revision of the last change of each upstream,
	// removed ones included, so that a delayed change cannot restore one.
	lastRevisions map[string]uint64
	// listedRevision is the revision of the last complete listing. A change up to it
	// of an upstream that was not listed is older than the upstream's removal.
	listedRevision uint64
	evacuated      map[string]bool
	// leaving holds the upstreams that announced in a response that they will stop.
	// It is kept apart from the registrations, which routers compare with each
	// other: a response reaches one router only.
	leaving map[string]announcement
	// storeReturnedAt is when the last outage of the store ended.
	storeReturnedAt clock.Instant
}

// announcement identifies the incarnation of an upstream that will stop.
type announcement struct {
	incarnation int64
	// heartbeat is the number of the last registration seen. A smaller one belongs
	// to a new incarnation, if the registrations do not tell incarnations apart.
	heartbeat uint64
}

// maxAnnouncements limits the announcements that are kept of removed upstreams.
const maxAnnouncements = 1 << 12

// maxRevisions limits the revisions kept for removed upstreams.
const maxRevisions = 1 << 16

// New returns an empty directory.
func New() *Directory {
	d := &Directory{upstreams: map[string]*Upstream{}, evacuated: map[string]bool{}, leaving: map[string]announcement{}, lastRevisions: map[string]uint64{}}
	d.rebuildIndex()
	return d
}

// StoreReturned records that an outage of the store has just ended.
func (d *Directory) StoreReturned(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeReturnedAt = now
}

// Replace applies a complete listing as of a revision. Upstreams that are not
// listed are removed, except those that may still register again after an outage
// of the store.
func (d *Directory) Replace(now clock.Instant, entries []Entry, revision uint64) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	present := map[string]bool{}
	d.listedRevision = 0
	for _, e := range entries {
		present[e.ID] = true
		changes = d.upsert(now, e, changes)
	}
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		if !present[id] {
			changes = d.remove(now, id, revision, changes)
		}
	}
	d.listedRevision = revision
	d.rebuildIndex()
	return changes
}

// MarkLeaving records that an upstream announced that it will stop, and reports
// whether that is new. The upstream receives no new work from then on, whatever its
// registration says, until another incarnation registers.
func (d *Directory) MarkLeaving(u *Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, known := d.leaving[u.ID()]; known && a.incarnation == u.Incarnation() {
		return false
	}
	if len(d.leaving) >= maxAnnouncements {
		maps.DeleteFunc(d.leaving, func(id string, _ announcement) bool { return d.upstreams[id] == nil })
	}
	d.leaving[u.ID()] = announcement{u.Incarnation(), u.entry.Heartbeat}
	d.rebuildIndex()
	return true
}

// forgetAnnouncement drops the announcement of an earlier incarnation once a new
// one registers.
func (d *Directory) forgetAnnouncement(e Entry) {
	a, known := d.leaving[e.ID]
	if !known {
		return
	}
	if e.Incarnation != a.incarnation || e.Heartbeat < a.heartbeat {
		delete(d.leaving, e.ID)
		return
	}
	d.leaving[e.ID] = announcement{a.incarnation, e.Heartbeat}
}

// Receives reports whether an upstream may still receive new work.
func (d *Directory) Receives(u *Upstream) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	current := d.upstreams[u.ID()]
	return current != nil && current.engine == u.engine && d.receives(current)
}

// receives reports whether an upstream of the directory takes new work.
func (d *Directory) receives(u *Upstream) bool {
	_, leaving := d.leaving[u.ID()]
	return !leaving && !u.entry.Draining && !d.evacuated[u.entry.FailureDomain]
}

// Update is a change of one registration.
type Update struct {
	ID string
	// Entry is the new registration, nil if it was removed or is not a valid
	// upstream.
	Entry *Entry
	// Revision orders the changes, 0 if unknown.
	Revision uint64
}

// Apply applies changes of registrations. It returns the resulting changes of the
// directory for the log, and the updates that changed the state which Hash
// covers, or renewed a cold start, which it does not show.
func (d *Directory) Apply(now clock.Instant, updates []Update) (changes []Change, effective []Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range updates {
		before, coldBefore := d.upstreams[u.ID].stateHash(), d.upstreams[u.ID].coldEnd()
		if u.Entry == nil {
			changes = d.remove(now, u.ID, u.Revision, changes)
		} else {
			changes = d.upsert(now, *u.Entry, changes)
		}
		renewed := d.upstreams[u.ID].coldEnd().Sub(coldBefore) > minColdRenewal
		if renewed || d.upstreams[u.ID].stateHash() != before {
			effective = append(effective, u)
		}
	}
	if len(effective) > 0 || len(changes) > 0 {
		d.rebuildIndex()
	}
	return changes, effective
}

// ExpireMissing removes the upstreams that did not register again within
// reregistrationGrace after an outage.
func (d *Directory) ExpireMissing(now clock.Instant) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.storeReturnedAt) < reregistrationGrace {
		return nil
	}
	var missing []string
	for id, u := range d.upstreams {
		if u.missingSince != 0 {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	var changes []Change
	for _, id := range missing {
		changes = d.deleteUpstream(id, "gone", changes)
	}
	if changes != nil {
		d.rebuildIndex()
	}
	return changes
}

// SetEvacuated replaces the set of evacuated failure domains and reports whether
// it changed.
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

// Evacuated returns the sorted names of the evacuated failure domains.
func (d *Directory) Evacuated() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Sorted(maps.Keys(d.evacuated))
}

// Hash returns a hash of the registrations, limited to what decides which
// upstreams receive work. Routers with equal hashes have the same view.
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

// All returns all upstreams of a service, including those that receive no new
// work. The slice must not be changed.
func (d *Directory) All(service string) []*Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service]
}

// Engine returns the upstream with the given hash of ID and incarnation, or nil.
func (d *Directory) Engine(e prefix.EngineID) *Upstream {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byEngine[e]
}

// IDs returns the sorted IDs of all known upstreams, including draining ones. The
// slice must not be changed.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.ids
}

// isStale reports whether a revision is older than the last change of an
// upstream, and records it otherwise. Revision 0 is never stale.
func (d *Directory) isStale(id string, revision uint64) bool {
	if revision == 0 {
		return false
	}
	last, known := d.lastRevisions[id]
	if revision < last || !known && revision <= d.listedRevision {
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
		d.forgetAnnouncement(e)
		d.upstreams[e.ID] = u
		return append(changes, Change{e.ID, "new", e})
	}
	sameIncarnation := old.entry.Incarnation == e.Incarnation
	if e.Incarnation < old.entry.Incarnation || sameIncarnation && e.Heartbeat < old.entry.Heartbeat {
		// A delayed write of an earlier state.
		return changes
	}
	if sameIncarnation && old.entry.Draining {
		// An incarnation never stops draining.
		u.entry.Draining = true
	}
	if sameIncarnation && e.Heartbeat == old.entry.Heartbeat {
		u.coldUntil = old.coldUntil
	}
	d.forgetAnnouncement(e)
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

// stateHash returns a hash of the registration, limited to what decides whether
// the upstream receives work, or 0 for none.
func (u *Upstream) stateHash() uint64 {
	if u == nil || u.missingSince != 0 {
		return 0
	}
	var flags byte
	if u.entry.Draining {
		flags |= drainingBit
	}
	if u.entry.ColdRemaining > 0 {
		flags |= coldBit
	}
	// All bits depend on the flags, so that sums of hashes distinguish sets of
	// upstreams: with a mere factor, the drain of one upstream changed the sum as that
	// of another did, or undid it.
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte{flags}, uint64(u.engine))) | 1
}

const (
	drainingBit = 1 << 0
	coldBit     = 1 << 1
)

// rebuildIndex rebuilds the lookup tables and the hash from the upstreams.
func (d *Directory) rebuildIndex() {
	receiving, byService, byEngine := map[string][]*Upstream{}, map[string][]*Upstream{}, map[prefix.EngineID]*Upstream{}
	hash := uint64(0)
	d.ids = slices.Sorted(maps.Keys(d.upstreams))
	for _, id := range d.ids {
		u := d.upstreams[id]
		hash += u.stateHash()
		byEngine[u.Engine()] = u
		byService[u.entry.Service] = append(byService[u.entry.Service], u)
		if !d.receives(u) {
			continue
		}
		receiving[u.entry.Service] = append(receiving[u.entry.Service], u)
	}
	d.receiving, d.byService, d.byEngine, d.hash = receiving, byService, byEngine, hash
}
