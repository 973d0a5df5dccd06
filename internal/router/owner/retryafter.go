package owner

import (
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// completionRateDecay is the time constant of the measured completion rate.
	completionRateDecay = 10 * time.Second
	// minRetryAfter and maxRetryAfter limit the retry time computed from the
	// completion rate.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// notOwnerRetryAfter is short: the entry only has to find the current
	// owner.
	notOwnerRetryAfter = 500 * time.Millisecond
	// defaultRetryAfter is used until a completion was measured.
	defaultRetryAfter = time.Second
)

// fixedRetryAfter holds the retry times of refusals that do not depend on
// completions.
var fixedRetryAfter = map[rpc.Reason]time.Duration{
	rpc.Reason_REASON_NOT_OWNER:  notOwnerRetryAfter,
	rpc.Reason_REASON_LEAVING:    5 * time.Second,
	rpc.Reason_REASON_DOMAIN_OUT: 5 * time.Second,
	rpc.Reason_REASON_DISABLED:   maxRetryAfter,
}

// completionRate measures the rate of completions with exponential decay.
type completionRate struct {
	count     float64
	updatedAt time.Time
}

func (r *completionRate) decayedCount(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.updatedAt).Seconds()/completionRateDecay.Seconds())
}

func (r *completionRate) record(now time.Time) {
	r.count = r.decayedCount(now) + 1
	r.updatedAt = now
}

// perSecond returns completions per second.
func (r *completionRate) perSecond(now time.Time) float64 {
	return r.decayedCount(now) / completionRateDecay.Seconds()
}

// retryAfter returns the time in which the queue, the load above the cold-start
// limit and one more request complete at the measured rate.
func (u *upstream) retryAfter(now time.Time, reason rpc.Reason) time.Duration {
	if d, ok := fixedRetryAfter[reason]; ok {
		return d
	}
	rate := u.completionRate.perSecond(now)
	if rate == 0 {
		return defaultRetryAfter
	}
	excess := max(len(u.grants)-u.coldStart.limit, 0)
	seconds := float64(u.queue.length+excess+1) / rate
	return max(minRetryAfter, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
}
