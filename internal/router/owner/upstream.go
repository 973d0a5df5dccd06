package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	stateCold     = "cold"
	stateDraining = "leaving"
)

// learningDivisor sets how long a new owner without a handover admits nothing:
// the grant lifetime divided by this number. Entries renew every third of a
// lifetime, so half of it leaves them time to find the new owner. Admitting
// earlier, even within the reserve, would add to an unknown load that may already
// be at the bound.
const learningDivisor = 2

// pauseThreshold is the time without a tick after which the process is assumed
// to have been paused.
const pauseThreshold = time.Second

// upstream is the admission state of one owned upstream; mu protects all fields
// but table, info.ID, info.Pool and poolLoad.
type upstream struct {
	table    *Table
	info     Upstream
	poolLoad *poolLoad

	mu               sync.Mutex
	ownershipEnded   bool
	latestTime       time.Time // latest time passed by a caller
	listedDraining   bool
	reportedDraining bool
	fencing          uint64
	lastGrantID      uint64
	learnUntil       time.Time
	reserveOnlyUntil time.Time
	grants           map[grantKey]*grant
	staleGrants      int // as of the last tick
	reportedLoad     int // in the newest load report
	reportedAt       time.Time
	coldStart        coldStart
	completionRate   completionRate
	queue            queue
	placements       placementTable
	lastCacheSeq     uint64
}

func newUpstream(t *Table, h Upstream, load *poolLoad) *upstream {
	return &upstream{
		table: t, info: h, poolLoad: load, listedDraining: h.Draining,
		grants: make(map[grantKey]*grant),
	}
}

func (u *upstream) policy() Policy { return u.table.policies.Upstream(u.info.ID) }

// startOwnership starts an ownership or continues it under a new fencing token.
// Grants that are already known stay counted.
func (u *upstream) startOwnership(now time.Time, fencing uint64, handover *rpc.HandoverRequest) {
	p := u.policy()
	if handover.GetFencing() >= fencing {
		// A handover with the same or a newer token was not meant for this
		// claim.
		handover = nil
	}
	u.latestTime = now
	u.fencing = fencing
	u.learnUntil, u.reserveOnlyUntil = now, now
	u.coldStart.limit = p.ColdLimit()
	if handover.GetLimit() == 0 {
		u.startLearning(now, p)
	}
	if handover != nil {
		u.restoreState(now, p, handover)
	}
}

// startLearning starts the learning phase, in which entries renew the grants of
// running requests at the new owner, and the reserve-only phase.
func (u *upstream) startLearning(now time.Time, p Policy) {
	u.learnUntil = now.Add(p.GrantLifetime() / learningDivisor)
	u.reserveOnlyUntil = now.Add(p.GrantLifetime())
}

// observeTime records the current time and detects pauses. A paused owner has
// missed renewals: its grants do not count in the pool's total until they are
// renewed, and if its reserve-only phase had not ended, it starts again with the
// learning phase.
func (u *upstream) observeTime(now time.Time) {
	if now.Sub(u.latestTime) > pauseThreshold {
		for _, g := range u.grants {
			g.renewedAt = time.Time{}
		}
		u.setStaleGrants(len(u.grants))
		if u.latestTime.Before(u.reserveOnlyUntil) {
			u.startLearning(now, u.policy())
		}
	}
	u.latestTime = now
}

// endOwnership ends the ownership and refuses all queued requests.
func (u *upstream) endOwnership(now time.Time) {
	u.ownershipEnded = true
	u.refuseQueue(now, rpc.Reason_REASON_NOT_OWNER)
	for k := range u.grants {
		u.removeGrant(k)
	}
	u.setStaleGrants(0)
}

// acquire grants, redirects or refuses a request, or queues it and returns its
// waiter.
func (u *upstream) acquire(ctx context.Context, now time.Time, r *rpc.AcquireRequest) (*rpc.AcquireResponse, *waiter) {
	u.observeTime(now)
	if r.GetHome() {
		if other, ok := u.placements.lookup(r.GetChat()); ok && other != u.info.ID {
			// The entry sends no placement if it equals the recorded one, so
			// the row is refreshed here.
			u.placements.set(now, r.GetChat(), other)
			return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REDIRECT, Redirect: other}, nil
		}
	}
	// The bound may have risen since the last dispatch.
	u.dispatch(now)
	p, c := u.policy(), u.table.policies.Class(r.GetClass())
	reason := u.refusalReason(now, p)
	if reason == rpc.Reason_REASON_NONE && u.queue.waitersAhead(levelOf(c)) == 0 {
		return u.admit(now, p, r), nil
	}
	if reason == rpc.Reason_REASON_NONE {
		reason = rpc.Reason_REASON_FULL
	}
	if w := u.enqueue(ctx, now, p, c, r, reason); w != nil {
		u.dispatch(now)
		return nil, w
	}
	return u.refusalResponse(now, reason), nil
}

// refusalResponse returns a refusal with the Retry-After time for its reason.
func (u *upstream) refusalResponse(now time.Time, reason rpc.Reason) *rpc.AcquireResponse {
	return newRefusal(reason, u.retryAfter(now, reason))
}

func newRefusal(reason rpc.Reason, retryAfter time.Duration) *rpc.AcquireResponse {
	return &rpc.AcquireResponse{
		Outcome:      rpc.Outcome_OUTCOME_REFUSED,
		Reason:       reason,
		RetryAfterMs: uint32(retryAfter.Milliseconds()),
	}
}

// applyLoadReport applies a load report of the upstream.
func (u *upstream) applyLoadReport(now time.Time, r LoadReport) {
	if r.BootID != "" && r.BootID == u.coldStart.previousBootID {
		return // a delayed report with the previous boot ID
	}
	u.reportedDraining = r.State == stateDraining
	u.reportedLoad, u.reportedAt = r.Running+r.Waiting, now
	rebooted := u.coldStart.observeBootID(r.BootID)
	if rebooted {
		u.lastCacheSeq = 0
	}
	if u.coldStart.observeReport(r) || rebooted {
		u.resetToColdLimit(now)
	}
	u.dispatch(now)
}

// resetToColdLimit resets the limit to the cold limit and refuses queued
// requests, so that they go to another upstream.
func (u *upstream) resetToColdLimit(now time.Time) {
	u.coldStart.reset(u.policy().ColdLimit())
	u.refuseQueue(now, rpc.Reason_REASON_COLD)
}

// placementTarget returns the upstream of a placement, or "" if it is this
// upstream.
func (u *upstream) placementTarget(upstream string) string {
	if upstream == u.info.ID {
		return ""
	}
	return upstream
}

// tick expires grants, placement rows and queued requests, and dispatches the
// queue.
func (u *upstream) tick(now time.Time) {
	if u.ownershipEnded {
		return
	}
	u.observeTime(now)
	u.expireGrants(now)
	u.placements.expire(now)
	u.expireQueue(now)
	u.dispatch(now)
}
