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

// Upstream is what the table needs to know of an upstream's host.
type Upstream struct {
	ID                   string
	Pool                 string
	FailureDomain        string
	Draining             bool
	PublishesLoadReports bool // it publishes load reports
}

// LoadReport is an upstream's own statement of its state, received with a
// delay. State is "cold", "warm" or "leaving".
type LoadReport struct {
	Boot        string
	State       string
	Running     int
	Waiting     int
	CacheTokens int
}

// CacheEvent says that an upstream added a chat's prefix to its cache (Op
// "add") or dropped it (Op "drop").
type CacheEvent struct {
	Seq    uint64
	Chat   uint64
	Op     string
	Tokens int
}

// PoolView returns the known load of a pool and the number of its upstreams that
// may receive work, with this router's own digests included.
type PoolView interface {
	Pool(now time.Time, pool string) (total, receiving int)
}

// LoadAger is implemented by Pools that know the mean age of the load in a total,
// weighted by load. Without it the age is taken for 1 s.
type LoadAger interface {
	Age(now time.Time, pool string) time.Duration
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
	DomainOut() bool
}

// Class is the configuration of one priority class.
type Class interface {
	// Rank is the class's level in a queue from 0, which is served first.
	Rank() int
	// QueueDeadline is the longest wait of the class in a queue.
	QueueDeadline() time.Duration
}

// Policies returns the configuration of an upstream and of a class, and the
// share of a workspace in a queue.
type Policies interface {
	Upstream(id string) Policy
	// Class returns the class of a name, the standard one for unknown names.
	Class(name string) Class
	Weight(workspace string) int
}

// LeaseStatus says whether this router is sure of its lease; if it is not, it
// admits within the reserve only.
type LeaseStatus interface {
	FullLimit(now time.Time) bool
}

// Table holds the admission state of all upstreams that this router owns.
type Table struct {
	self     string
	poolView PoolView
	policies Policies
	lease    LeaseStatus
	lastTick atomic.Int64 // time of the last tick, in nanoseconds since 1970

	mu        sync.RWMutex
	upstreams map[string]*upstream
	poolLoads map[string]*poolLoad
}

// New returns a table that owns nothing; self is the id of this router.
func New(self string, poolView PoolView, policies Policies, lease LeaseStatus) *Table {
	return &Table{
		self:      self,
		poolView:  poolView,
		policies:  policies,
		lease:     lease,
		upstreams: make(map[string]*upstream),
		poolLoads: make(map[string]*poolLoad),
	}
}

// TakeOwnership takes an upstream into ownership under the fencing token. With the
// handover of an earlier owner it continues where that one stopped; without
// one it first learns of running work and then starts at the reserve.
func (t *Table) TakeOwnership(now time.Time, h Upstream, fencing uint64, handover *rpc.HandoverRequest) {
	t.takeOwnership(h, func(u *upstream, _ bool) { u.startOwnership(now, fencing, handover) })
}

// TakeUnowned takes an upstream into ownership that nobody owned before. No work of
// an earlier owner can run there, so it starts at the cold limit and the full
// bound. The limit does not rise before a load report says that the upstream is
// not cold: without the slow start, requests complete before the first report.
// If this table owns the upstream already, TakeUnowned does what Own does.
func (t *Table) TakeUnowned(now time.Time, h Upstream, fencing uint64) {
	t.takeOwnership(h, func(u *upstream, known bool) {
		u.startOwnership(now, fencing, nil)
		if !known {
			u.learnUntil, u.reserveOnlyUntil = now, now
			u.coldStart.reportedCold = h.PublishesLoadReports
		}
	})
}

// takeOwnership calls begin with the upstream locked; known means that it was in the table.
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

// poolLoad returns the account of a pool and creates it if needed.
func (t *Table) poolLoad(pool string) *poolLoad {
	s := t.poolLoads[pool]
	if s == nil {
		s = &poolLoad{}
		t.poolLoads[pool] = s
	}
	return s
}

// removeAndLock takes the upstream out of the table and returns it locked, or nil if
// it is not owned.
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

// DropOwnership gives up the ownership of an upstream and refuses its queue.
func (t *Table) DropOwnership(now time.Time, id string) {
	if u := t.removeAndLock(id); u != nil {
		u.endOwnership(now)
		u.mu.Unlock()
	}
}

// Handover gives up the ownership of an upstream and returns its state for
// the next owner; false if the upstream is not owned.
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

// SetHost notes whether the host list shows an owned upstream as leaving.
func (t *Table) SetHost(now time.Time, h Upstream) {
	t.withUpstream(h.ID, func(u *upstream) {
		u.listedDraining = h.Draining
		u.dispatch(now)
	})
}

// withUpstream calls f with the upstream locked and reports whether it is owned.
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
// it waits until it is granted or refused, Tick passes its deadline, or ctx
// ends.
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

// Sync applies renewals, releases and placements of one entry. Renewals and
// releases of upstreams that this router does not own are returned: the entry
// repeats the renewal of a grant that it holds, and the release of one that it
// no longer holds, at the present owner.
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

// ApplyLoadReport applies an upstream's load report.
func (t *Table) ApplyLoadReport(now time.Time, id string, r LoadReport) {
	t.withUpstream(id, func(u *upstream) { u.applyLoadReport(now, r) })
}

// ApplyCacheEvents corrects the placement tables of this router's upstreams by the
// cache events of one of them.
func (t *Table) ApplyCacheEvents(now time.Time, id string, events []CacheEvent) {
	var unseen []CacheEvent
	t.withUpstream(id, func(u *upstream) { unseen = u.applyCacheEvents(now, events) })
	if len(unseen) == 0 {
		return
	}
	t.forEachUpstream(func(u *upstream) {
		for _, e := range unseen {
			if e.Op == cacheOpDrop && u.host.ID != id {
				u.placements.removePlacedAt(e.Chat, id)
			}
		}
	})
}

// Tick expires grants, placement rows and queued requests, and grants what
// the present limits allow. It is to be called several times a second: a gap
// of more than a second means that the process was paused.
func (t *Table) Tick(now time.Time) {
	t.lastTick.Store(now.UnixNano())
	t.mu.RLock()
	for _, s := range t.poolLoads {
		s.recordRunningTime(now)
	}
	t.mu.RUnlock()
	t.forEachUpstream(func(u *upstream) { u.tick(now) })
}

// loadAge returns the age of what Pools returns for a pool.
func (t *Table) loadAge(now time.Time, pool string) time.Duration {
	if a, ok := t.poolView.(LoadAger); ok {
		return a.Age(now, pool)
	}
	return defaultLoadAge
}

// forEachUpstream calls f with each owned upstream locked, one after another.
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
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.host.ID, b.host.ID) })
	return list
}

// Digests returns the load of the owned upstreams of each pool and how many
// of them may receive work.
func (t *Table) Digests(now time.Time) []*rpc.Digest {
	byPool := make(map[string]*rpc.Digest)
	var digests []*rpc.Digest
	for _, u := range t.sortedUpstreams() {
		d := byPool[u.host.Pool]
		if d == nil {
			d = &rpc.Digest{Router: t.self, Pool: u.host.Pool}
			byPool[u.host.Pool] = d
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
	for pool, s := range t.poolLoads {
		s.recordDigest(now, int64(byPool[pool].GetLoad()), int64(byPool[pool].GetReceiving()))
	}
	return digests
}

// Owned returns the ids of the owned upstreams in order.
func (t *Table) Owned() []string {
	list := t.sortedUpstreams()
	ids := make([]string, len(list))
	for i, u := range list {
		ids[i] = u.host.ID
	}
	return ids
}
