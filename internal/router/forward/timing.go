package forward

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/latency"
)

// attemptTiming measures how long the upstream of one attempt takes. It is nil, and its
// methods do nothing, for requests to engines: their times depend on the prompt.
type attemptTiming struct {
	estimator *latency.Estimator
	// request is nil once the outcome is recorded.
	request *latency.Request
}

// startTiming begins to measure an attempt.
func (j *job) startTiming(u *directory.Upstream) *attemptTiming {
	if j.Latency == nil || j.service.IsEngine() {
		return nil
	}
	now := clock.Now()
	loads, _ := j.Gossip.Loads(now, []uint64{u.IDHash()})
	return &attemptTiming{j.Latency, j.Latency.Start(now, u.IDHash(), j.serviceName+" "+j.route.Name(), loads[0], u.Slots())}
}

// finish records that the response arrived.
func (t *attemptTiming) finish() { t.end((*latency.Estimator).Finish) }

// reject records that the upstream rejected the request.
func (t *attemptTiming) reject() { t.end((*latency.Estimator).Reject) }

// abandon records that the attempt ended without a response, unless its outcome is
// recorded already.
func (t *attemptTiming) abandon() { t.end((*latency.Estimator).Abandon) }

func (t *attemptTiming) end(record func(e *latency.Estimator, now clock.Instant, r *latency.Request)) {
	if t == nil || t.request == nil {
		return
	}
	record(t.estimator, clock.Now(), t.request)
	t.request = nil
}

// estimateSlowdowns sets the slowdown of each candidate and returns the ages of the
// estimates, or nil for requests that are placed by their prompt.
func (j *job) estimateSlowdowns(now clock.Instant, upstreams []*directory.Upstream, candidates []balance.Candidate) []time.Duration {
	if j.Latency == nil || j.affine() {
		return nil
	}
	ages := make([]time.Duration, len(candidates))
	for i, e := range j.Latency.Estimates(now, upstreamKeys(upstreams)) {
		candidates[i].Slowdown, ages[i] = e.Slowdown, e.Age
	}
	return ages
}

// countPick counts picks that upstreams of different speed have decided.
func (j *job) countPick(c balance.Choice) {
	switch c.Reason {
	case balance.ReasonTime:
		j.unevenPicks.Add(1)
	case balance.ReasonExplore:
		j.explorations.Add(1)
	case balance.ReasonPrompt:
		j.promptPicks.Add(1)
	}
}

// UnevenPicks returns the number of requests placed by expected time because upstreams
// differ in speed, and of those placed to learn of upstreams that recover.
func (g *Gateway) UnevenPicks() (byTime, explorations int64) {
	return g.unevenPicks.Load(), g.explorations.Load()
}
