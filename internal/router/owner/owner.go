package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// Upstream is the host list entry of an upstream, as far as admission needs it.
type Upstream struct {
	ID                   string
	Pool                 string
	FailureDomain        string
	Draining             bool
	PublishesLoadReports bool
}

// LoadReport is the state that an upstream publishes of itself; it arrives with
// a delay. State is "cold", "warm" or "leaving". BootID identifies one run of the
// upstream's process.
type LoadReport struct {
	BootID      string
	State       string
	Running     int
	Waiting     int
	CacheTokens int
}

// CacheEvent reports that an upstream added a chat's prefix to its cache (Op
// "add") or evicted it (Op "drop").
type CacheEvent struct {
	Seq    uint64
	Chat   uint64
	Op     string
	Tokens int
}

// PoolView returns the load of a pool as far as this router knows it from
// digests, and the number of its upstreams that accept work. Both include this
// router's own digests. Where digests differ or are missing, the load is rather too
// low and the number too high, since the load bound grows with their quotient.
type PoolView interface {
	PoolLoad(now time.Time, pool string) (total, receiving int)
}

// LoadAger is implemented by a PoolView that knows the mean age of the load in
// its total, weighted by load. Without it, an age of 1 s is assumed.
type LoadAger interface {
	LoadAge(now time.Time, pool string) time.Duration
}

// Policy is the configuration of one upstream.
type Policy interface {
	LoadFactor() float64
	LoadFloor() int
	ColdLimit() int
	MaxLoad() int
	ColdTTFTFactor() float64
	QueueLength() int
	QueueDeadline() time.Duration
	GrantLifetime() time.Duration
	Disabled() bool
	DomainEvacuated() bool
}

// Class is the configuration of one priority class.
type Class interface {
	// Rank is the queue level of the class; level 0 is served first.
	Rank() int
	// QueueDeadline is the longest time that a request of the class may queue.
	QueueDeadline() time.Duration
}

// Policies returns the configuration of upstreams and classes, and the weight
// of a workspace in a queue.
type Policies interface {
	Upstream(id string) Policy
	// Class returns the class with this name, or the standard class if the name
	// is unknown.
	Class(name string) Class
	Weight(workspace string) int
}

// LeaseStatus reports whether this router's lease is confirmed, so that it may
// admit up to the full limit. Otherwise it admits only within the reserve.
type LeaseStatus interface {
	FullLimitAllowed(now time.Time) bool
}

// Table holds the admission state of all upstreams that this router owns.
type Table struct {
	routerID string
	poolView PoolView
	policies Policies
	lease    LeaseStatus
	lastTick atomic.Int64 // Unix time in nanoseconds

	mu        sync.RWMutex
	upstreams map[string]*upstream
	poolLoads map[string]*poolLoad
}

// New returns a table that owns no upstreams; routerID is the id of this router.
func New(routerID string, poolView PoolView, policies Policies, lease LeaseStatus) *Table {
	return &Table{
		routerID:  routerID,
		poolView:  poolView,
		policies:  policies,
		lease:     lease,
		upstreams: make(map[string]*upstream),
		poolLoads: make(map[string]*poolLoad),
	}
}

// TakeOwnership makes this router the owner of an upstream under the fencing
// token. With the handover of the previous owner it continues from that state.
// Without one it first learns of running requests from renewals and then admits
// within the reserve.
func (t *Table) TakeOwnership(now time.Time, h Upstream, fencing uint64, handover *rpc.HandoverRequest) {
	t.takeOwnership(h, func(u *upstream, _ bool) { u.startOwnership(now, fencing, handover) })
}

// TakeUnowned makes this router the owner of an upstream that had no owner
// before. No requests of a previous owner can be running there, so it starts at
// the cold limit and the full bound. If the upstream publishes load reports, its
// limit rises only once a report says that it is not cold: requests can complete
// before the first report arrives. If this table owns the upstream already,
// TakeUnowned does the same as TakeOwnership without a handover.
func (t *Table) TakeUnowned(now time.Time, h Upstream, fencing uint64) {
	t.takeOwnership(h, func(u *upstream, known bool) {
		u.startOwnership(now, fencing, nil)
		if !known {
			u.learnUntil, u.reserveOnlyUntil = now, now
			u.coldStart.reportedCold = h.PublishesLoadReports
		}
	})
}

// takeOwnership calls start with the upstream locked; known reports whether the
// upstream was already in the table.
func (t *Table) takeOwnership(h Upstream, start func(u *upstream, known bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[h.ID]
	known := u != nil
	if !known {
		u = newUpstream(t, h, t.poolLoad(h.Pool))
		t.upstreams[h.ID] = u
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	start(u, known)
}

// poolLoad returns the poolLoad of a pool, creating it if needed.
func (t *Table) poolLoad(pool string) *poolLoad {
	l := t.poolLoads[pool]
	if l == nil {
		l = &poolLoad{}
		t.poolLoads[pool] = l
	}
	return l
}

// removeAndLock removes the upstream from the table and returns it locked, or
// nil if it is not owned.
func (t *Table) removeAndLock(id string) *upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	if u == nil {
		return nil
	}
	delete(t.upstreams, id)
	u.mu.Lock()
	return u
}

// DropOwnership ends the ownership of an upstream and refuses its queued
// requests.
func (t *Table) DropOwnership(now time.Time, id string) {
	if u := t.removeAndLock(id); u != nil {
		u.endOwnership(now)
		u.mu.Unlock()
	}
}

// Handover ends the ownership of an upstream and returns its state for the next
// owner, or false if the upstream is not owned.
func (t *Table) Handover(now time.Time, id string) (*rpc.HandoverRequest, bool) {
	u := t.removeAndLock(id)
	if u == nil {
		return nil, false
	}
	defer u.mu.Unlock()
	state := u.exportState(now)
	u.endOwnership(now)
	return state, true
}

// SetListedState records whether the host list shows an owned upstream as
// draining.
func (t *Table) SetListedState(now time.Time, h Upstream) {
	t.withUpstream(h.ID, func(u *upstream) {
		u.listedDraining = h.Draining
		u.dispatch(now)
	})
}

// withUpstream calls f with the upstream locked and reports whether it is
// owned.
func (t *Table) withUpstream(id string, f func(u *upstream)) bool {
	t.mu.RLock()
	u := t.upstreams[id]
	t.mu.RUnlock()
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ownershipEnded {
		return false
	}
	f(u)
	return true
}

// Acquire decides on the admission of one request. If the request may queue,
// Acquire blocks until the request is granted or refused, Tick finds its
// deadline passed, or ctx ends.
func (t *Table) Acquire(ctx context.Context, now time.Time, r *rpc.AcquireRequest) *rpc.AcquireResponse {
	if now.UnixNano()-t.lastTick.Load() > int64(pauseThreshold) {
		t.forEachUpstream(func(u *upstream) { u.observeTime(now) })
	}
	var response *rpc.AcquireResponse
	var w *waiter
	owned := t.withUpstream(r.GetUpstream(), func(u *upstream) {
		response, w = u.acquire(ctx, now, r)
	})
	if !owned {
		return newRefusal(rpc.Reason_REASON_NOT_OWNER, notOwnerRetryAfter)
	}
	if w == nil {
		return response
	}
	return w.wait(ctx)
}

// Sync applies renewals, releases and placements of one entry router. It
// returns the renewals and releases of upstreams that this router does not own:
// the entry repeats the renewal of a grant that is still active, and the release
// of one that has ended, at the current owner.
func (t *Table) Sync(now time.Time, r *rpc.SyncRequest) *rpc.SyncResponse {
	response := &rpc.SyncResponse{}
	for _, g := range r.GetRenewals() {
		renewed := false
		t.withUpstream(g.GetUpstream(), func(u *upstream) { renewed = u.renewGrant(now, g) })
		if !renewed {
			response.NotOwned = append(response.NotOwned, g)
		}
	}
	for _, l := range r.GetReleases() {
		if !t.withUpstream(l.GetUpstream(), func(u *upstream) { u.releaseGrant(now, l) }) {
			response.NotOwned = append(response.NotOwned, &rpc.Grant{
				Upstream: l.GetUpstream(), Id: l.GetId(), Fencing: l.GetFencing(),
			})
		}
	}
	for _, p := range r.GetPlacements() {
		t.withUpstream(p.GetHome(), func(u *upstream) { u.placements.set(now, p.GetChat(), u.placementTarget(p.GetUpstream())) })
	}
	return response
}

// ApplyLoadReport applies a load report of the upstream.
func (t *Table) ApplyLoadReport(now time.Time, id string, r LoadReport) {
	t.withUpstream(id, func(u *upstream) { u.applyLoadReport(now, r) })
}

// ApplyCacheEvents updates the placement tables of this router's upstreams with
// the cache events of one of them.
func (t *Table) ApplyCacheEvents(now time.Time, id string, events []CacheEvent) {
	var unseen []CacheEvent
	t.withUpstream(id, func(u *upstream) { unseen = u.applyCacheEvents(now, events) })
	if len(unseen) == 0 {
		return
	}
	t.forEachUpstream(func(u *upstream) {
		for _, e := range unseen {
			if e.Op == cacheOpDrop && u.info.ID != id {
				u.placements.removePlacedAt(e.Chat, id)
			}
		}
	})
}

// Tick expires grants, placement rows and queued requests, and grants queued
// requests for which there is room. Call it several times a second: a gap of
// more than a second is taken for a pause of the process.
func (t *Table) Tick(now time.Time) {
	t.lastTick.Store(now.UnixNano())
	t.mu.RLock()
	for _, l := range t.poolLoads {
		l.recordRunningTime(now)
	}
	t.mu.RUnlock()
	t.forEachUpstream(func(u *upstream) { u.tick(now) })
}

// loadAge returns the mean age of the total that the PoolView returns for a
// pool.
func (t *Table) loadAge(now time.Time, pool string) time.Duration {
	if a, ok := t.poolView.(LoadAger); ok {
		return a.LoadAge(now, pool)
	}
	return defaultLoadAge
}

// forEachUpstream calls f for each owned upstream in turn, with that upstream
// locked.
func (t *Table) forEachUpstream(f func(u *upstream)) {
	for _, u := range t.sortedUpstreams() {
		u.mu.Lock()
		f(u)
		u.mu.Unlock()
	}
}

// sortedUpstreams returns the owned upstreams ordered by id.
func (t *Table) sortedUpstreams() []*upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]*upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return list
}

// Digests returns, for each pool, the load of the owned upstreams and how many
// of them accept work.
func (t *Table) Digests(now time.Time) []*rpc.Digest {
	byPool := make(map[string]*rpc.Digest)
	var digests []*rpc.Digest
	for _, u := range t.sortedUpstreams() {
		d := byPool[u.info.Pool]
		if d == nil {
			d = &rpc.Digest{Router: t.routerID, Pool: u.info.Pool}
			byPool[u.info.Pool] = d
			digests = append(digests, d)
		}
		u.mu.Lock()
		d.Load += uint32(max(len(u.grants)-u.staleGrants, 0))
		if u.unavailableReason(u.policy()) == rpc.Reason_REASON_NONE {
			d.Receiving++
		}
		u.mu.Unlock()
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for pool, l := range t.poolLoads {
		l.recordDigest(now, int64(byPool[pool].GetLoad()), int64(byPool[pool].GetReceiving()))
	}
	return digests
}

// Owned returns the sorted ids of the owned upstreams.
func (t *Table) Owned() []string {
	list := t.sortedUpstreams()
	ids := make([]string, len(list))
	for i, u := range list {
		ids[i] = u.info.ID
	}
	return ids
}
