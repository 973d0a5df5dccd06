package owner

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// levelCount is the number of levels in a queue, one for each rank of a class.
const levelCount = 3

// levelOf returns the queue level of a class, clamped to the valid levels.
func levelOf(c Class) int { return min(max(c.Rank(), 0), levelCount-1) }

// minCostTokens is the least cost that a request is charged, in tokens: a short
// request occupies a slot too.
const minCostTokens = 256

// waiter is a queued request. The response channel has a buffer of one, so that
// sending the response never blocks.
type waiter struct {
	upstream *upstream
	ctx      context.Context
	request  *rpc.AcquireRequest
	level    int // fixed when queued, since the priority of the class may change
	queuedAt time.Time
	deadline time.Time
	response chan *rpc.AcquireResponse
}

// flow is the queue of one workspace within a level, with its virtual time.
type flow struct {
	workspace   string
	virtualTime float64
	waiters     []*waiter
}

// level is the weighted fair queue of the classes of one rank. Empty flows that
// are ahead of the level's virtual time are kept, so that a workspace that
// queues one request at a time cannot exceed its share.
type level struct {
	virtualTime float64
	flows       []*flow
	length      int
}

// queue is the queue of one upstream.
type queue struct {
	levels [levelCount]level
	length int
}

// waitersAhead returns the number of queued requests that are served before a
// new one of the level.
func (q *queue) waitersAhead(level int) int {
	n := 0
	for i := 0; i <= level; i++ {
		n += q.levels[i].length
	}
	return n
}

func (l *level) flow(workspace string) *flow {
	for _, f := range l.flows {
		if f.workspace == workspace {
			return f
		}
	}
	f := &flow{workspace: workspace, virtualTime: l.virtualTime}
	l.flows = append(l.flows, f)
	return f
}

func (q *queue) push(w *waiter) {
	l := &q.levels[w.level]
	f := l.flow(w.request.GetWorkspace())
	f.virtualTime = max(f.virtualTime, l.virtualTime)
	f.waiters = append(f.waiters, w)
	l.length++
	q.length++
}

// nextFlow returns the level and flow to serve next, or nil if the queue is
// empty.
func (q *queue) nextFlow() (*level, *flow) {
	for i := range q.levels {
		l := &q.levels[i]
		var first *flow
		for _, f := range l.flows {
			if len(f.waiters) > 0 && (first == nil || f.virtualTime < first.virtualTime) {
				first = f
			}
		}
		if first != nil {
			return l, first
		}
	}
	return nil, nil
}

// pop removes and returns the waiter to serve next, or nil if the queue is
// empty.
func (q *queue) pop() *waiter {
	_, f := q.nextFlow()
	if f == nil {
		return nil
	}
	w := f.waiters[0]
	q.remove(w)
	return w
}

// charge advances the virtual time of the waiter's workspace by the cost of its
// request.
func (q *queue) charge(w *waiter, weight int) {
	l := &q.levels[w.level]
	f := l.flow(w.request.GetWorkspace())
	l.virtualTime = max(l.virtualTime, f.virtualTime)
	f.virtualTime += math.Max(float64(w.request.GetTokens()), minCostTokens) / float64(max(weight, 1))
	l.removeIdleFlows()
}

// remove removes a waiter from the queue and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	l := &q.levels[w.level]
	f := l.flow(w.request.GetWorkspace())
	i := slices.Index(f.waiters, w)
	if i >= 0 {
		f.waiters = slices.Delete(f.waiters, i, i+1)
		l.length--
		q.length--
	}
	l.removeIdleFlows()
	return i >= 0
}

// removeIdleFlows removes empty flows that are not ahead of the level's virtual
// time.
func (l *level) removeIdleFlows() {
	l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
		return len(f.waiters) == 0 && f.virtualTime <= l.virtualTime
	})
}

// resetEmptyLevels resets the virtual times of levels without queued requests.
func (q *queue) resetEmptyLevels() {
	for i := range q.levels {
		if q.levels[i].length == 0 {
			q.levels[i] = level{}
		}
	}
}

// waiters returns all queued requests.
func (q *queue) waiters() []*waiter {
	var list []*waiter
	for i := range q.levels {
		for _, f := range q.levels[i].flows {
			list = append(list, f.waiters...)
		}
	}
	return list
}

// victim returns the waiter that a new one displaces from a full queue, or nil
// if the new one may not displace any. It is the newest waiter of the least
// urgent level below the new one's. If there is none, it is the newest of the
// workspace with the most waiters for its weight in the same level, if that is
// more than the new one's workspace would have.
func (q *queue) victim(w *waiter, weight func(string) int) *waiter {
	for i := levelCount - 1; i > w.level; i-- {
		if f := q.levels[i].longestFlow(weight); f != nil {
			return f.waiters[len(f.waiters)-1]
		}
	}
	l := &q.levels[w.level]
	longest := l.longestFlow(weight)
	if longest == nil {
		return nil
	}
	workspace, count := w.request.GetWorkspace(), 0
	for _, f := range l.flows {
		if f.workspace == workspace {
			count = len(f.waiters)
		}
	}
	if weightedLength(len(longest.waiters), longest.workspace, weight) <= weightedLength(count+1, workspace, weight) {
		return nil
	}
	return longest.waiters[len(longest.waiters)-1]
}

// longestFlow returns the flow with the most waiters for its weight, or nil if
// all flows are empty.
func (l *level) longestFlow(weight func(string) int) *flow {
	var longest *flow
	for _, f := range l.flows {
		if len(f.waiters) == 0 {
			continue
		}
		if longest == nil || weightedLength(len(f.waiters), f.workspace, weight) >
			weightedLength(len(longest.waiters), longest.workspace, weight) {
			longest = f
		}
	}
	return longest
}

func weightedLength(n int, workspace string, weight func(string) int) float64 {
	return float64(n) / float64(max(weight(workspace), 1))
}
