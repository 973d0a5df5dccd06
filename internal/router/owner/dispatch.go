package owner

import (
	"context"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// queueable reports whether a request refused for this reason may queue. Above
// the cold limit it may not: the load has to fall first, and another upstream
// serves the request sooner.
func (u *upstream) queueable(reason rpc.Reason) bool {
	switch reason {
	case rpc.Reason_REASON_FULL:
		return true
	case rpc.Reason_REASON_COLD:
		return len(u.grants) <= u.coldStart.limit
	}
	return false
}

// enqueue queues a request and returns its waiter, or nil if the request may
// not queue or the queue is full.
func (u *upstream) enqueue(ctx context.Context, now time.Time, p Policy, c Class, r *rpc.AcquireRequest, reason rpc.Reason) *waiter {
	if !r.GetMayQueue() || !u.queueable(reason) || ctx.Err() != nil {
		return nil
	}
	wait := min(p.QueueDeadline(), c.QueueDeadline())
	if requested := time.Duration(r.GetQueueMs()) * time.Millisecond; requested > 0 {
		wait = min(wait, requested)
	}
	if wait <= 0 {
		return nil
	}
	w := &waiter{
		upstream: u, ctx: ctx, request: r, level: levelOf(c), queuedAt: now, deadline: now.Add(wait),
		response: make(chan *rpc.AcquireResponse, 1),
	}
	if u.queue.length >= p.QueueLength() {
		v := u.queue.victim(w, u.table.policies.Weight)
		if v == nil {
			return nil
		}
		u.queue.remove(v)
		u.respond(now, v, u.refusalResponse(now, rpc.Reason_REASON_FULL))
	}
	u.queue.push(w)
	return w
}

// respond sends the response to a waiter that has left the queue.
func (u *upstream) respond(now time.Time, w *waiter, r *rpc.AcquireResponse) {
	r.QueuedMs = uint32(now.Sub(w.queuedAt).Milliseconds())
	w.response <- r
}

// dispatch grants queued requests while there is room. It reads the state again
// for each request, so that none is granted on the state at the time it was
// queued.
func (u *upstream) dispatch(now time.Time) {
	for u.queue.length > 0 {
		p := u.policy()
		if reason := u.unavailableReason(p); reason != rpc.Reason_REASON_NONE {
			u.refuseQueue(now, reason)
			return
		}
		if u.refusalReason(now, p) != rpc.Reason_REASON_NONE {
			return
		}
		u.grantOrExpire(now, p, u.queue.pop())
	}
}

// grantOrExpire grants a waiter for which there is room, or refuses it if its
// deadline has passed or its caller has left.
func (u *upstream) grantOrExpire(now time.Time, p Policy, w *waiter) {
	if w.ctx.Err() != nil || !now.Before(w.deadline) {
		u.respond(now, w, u.refusalResponse(now, rpc.Reason_REASON_QUEUE_TIMEOUT))
		return
	}
	u.queue.charge(w, u.table.policies.Weight(w.request.GetWorkspace()))
	u.respond(now, w, u.admit(now, p, w.request))
}

// refuseQueue refuses all queued requests.
func (u *upstream) refuseQueue(now time.Time, reason rpc.Reason) {
	for _, w := range u.queue.waiters() {
		u.respond(now, w, u.refusalResponse(now, reason))
	}
	u.queue = queue{}
}

// expireQueue refuses the queued requests whose deadline has passed and resets
// the virtual times of empty levels.
func (u *upstream) expireQueue(now time.Time) {
	for _, w := range u.queue.waiters() {
		if now.Before(w.deadline) {
			continue
		}
		u.queue.remove(w)
		u.respond(now, w, u.refusalResponse(now, rpc.Reason_REASON_QUEUE_TIMEOUT))
	}
	u.queue.resetEmptyLevels()
}

// wait returns the response to a queued request. If the caller has left, the
// request leaves the queue, and a grant that arrived too late is released.
func (w *waiter) wait(ctx context.Context) *rpc.AcquireResponse {
	var r *rpc.AcquireResponse
	select {
	case r = <-w.response:
	case <-ctx.Done():
	}
	if ctx.Err() == nil {
		return r
	}
	return w.upstream.abandon(w, r)
}

// abandon removes a waiter whose caller has left from the queue, or releases
// its grant. r is the response if it was already read.
func (u *upstream) abandon(w *waiter, r *rpc.AcquireResponse) *rpc.AcquireResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r == nil && !u.queue.remove(w) {
		r = <-w.response
	}
	if r.GetOutcome() == rpc.Outcome_OUTCOME_REFUSED {
		return r
	}
	if r.GetOutcome() == rpc.Outcome_OUTCOME_GRANTED {
		u.removeGrant(grantKey{r.GetFencing(), r.GetGrant()})
	}
	u.dispatch(u.latestTime)
	return u.refusalResponse(u.latestTime, rpc.Reason_REASON_QUEUE_TIMEOUT)
}
