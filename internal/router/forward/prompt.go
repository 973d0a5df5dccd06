package forward

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/promptwork"
)

const (
	// completeAfter is the time after the start of a router from which it knows the
	// prefixes that are in use: engines are reported again every 2 s, and datagrams of
	// a large fleet take a second.
	completeAfter = 5 * time.Second
	// completeShare is the share of the live routers that must be reachable for that.
	completeShare = 0.75
	// completeTTL is how long the result is used. The check compares all routers.
	completeTTL = 200 * time.Millisecond
)

// prefixView tells whether this router knows which prefixes are cached. It is safe for
// concurrent use.
type prefixView struct {
	startedAt clock.Instant

	mu        sync.Mutex
	checkedAt clock.Instant
	complete  bool
}

// completeView reports whether a prefix that this router does not know of is cached
// nowhere: it has run for a while and hears its peers.
func (g *Gateway) completeView(now clock.Instant) bool {
	v := &g.prefixes
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.checkedAt == 0 || now.Sub(v.checkedAt) >= completeTTL {
		v.checkedAt = now
		reachable, live := len(g.Gossip.ReachableRouters(now)), len(g.Gossip.LiveRouters(now))
		v.complete = now.Sub(v.startedAt) >= completeAfter && float64(reachable) >= completeShare*float64(live)
	}
	return v.complete
}

// measuresPrompts reports whether the request states the size of its prompt and is
// served by engines that read it.
func (j *job) measuresPrompts() bool {
	return j.Prompts != nil && j.service.IsEngine() && j.info.PromptTokens > 0
}

// promptSize returns the tokens of the shared prefixes and of the whole prompt.
func (j *job) promptSize() promptwork.Prompt {
	p := promptwork.Prompt{Shared: make([]int, len(j.info.Prefixes)), Total: j.info.PromptTokens}
	for i := range min(len(p.Shared), len(j.info.PrefixTokens)) {
		p.Shared[i] = min(j.info.PrefixTokens[i], p.Total)
	}
	return p
}

// estimatePrompts sets, for each candidate, when the prompt of the request would be
// read there and how much of it.
func (j *job) estimatePrompts(now clock.Instant, upstreams []*directory.Upstream, candidates []balance.Candidate) {
	if !j.measuresPrompts() || !j.affine() {
		return
	}
	keys, engines := upstreamKeys(upstreams), make([]prefix.EngineID, len(upstreams))
	for i, u := range upstreams {
		engines[i] = u.Engine()
	}
	hashes := j.info.Prefixes
	cached := j.PrefixIndex.CachedAt(now, hashes, engines)
	for i, n := range j.Prompts.ReadsAt(now, keys, hashes) {
		cached[i] = max(cached[i], n)
	}
	costs := promptwork.Costs(j.promptSize(), cached, j.completeView(now), true)
	j.setSlowdowns(now, keys, candidates)
	for i, b := range j.Prompts.Backlogs(now, keys) {
		candidates[i].FirstEvent = b.Time(costs[i].Uncached)
		candidates[i].Uncached, candidates[i].Reread = costs[i].Uncached, costs[i].Reread
	}
}

// setSlowdowns takes over how slow engines are now, as far as they report it. Errors of
// the estimate count as no difference.
func (j *job) setSlowdowns(now clock.Instant, engines []uint64, candidates []balance.Candidate) {
	if j.Latency == nil {
		return
	}
	slowdowns := make([]float64, len(engines))
	for i, e := range j.Latency.Estimates(now, engines) {
		slowdowns[i] = 1
		if e.Slowdown >= balance.UnevenFactor {
			slowdowns[i] = e.Slowdown
			candidates[i].Slowdown = e.Slowdown
		}
	}
	j.Prompts.SetSlowdowns(now, engines, slowdowns)
}

// firstEventLimit returns how long the first event may still take within the objective
// of the route, 0 without an objective.
func (j *job) firstEventLimit(now clock.Instant) time.Duration {
	if j.route.Objective() <= 0 {
		return 0
	}
	return max(time.Millisecond, j.route.Objective()-now.Sub(j.arrivedAt))
}

// promptFields returns the log fields with the estimates that a pick was based on.
func promptFields(c balance.Candidate) logrus.Fields {
	if c.FirstEvent <= 0 {
		return nil
	}
	f := logrus.Fields{"first_event_ms": c.FirstEvent.Milliseconds(), "uncached": c.Uncached, "reread": c.Reread}
	if c.Slowdown > 0 {
		f["slowdown"] = c.Slowdown
	}
	return f
}

// promptReading follows one prompt until its first event. It is nil, and its methods do
// nothing, for requests that state no size of their prompt.
type promptReading struct {
	tracker *promptwork.Tracker
	reading *promptwork.Reading
}

// startReading records that the prompt is sent to an engine and notifies peers of a
// long one.
func (j *job) startReading(u *directory.Upstream) *promptReading {
	if !j.measuresPrompts() {
		return nil
	}
	uncached := j.uncached
	if !j.affine() {
		uncached = j.info.PromptTokens
	}
	r := &promptReading{j.Prompts, j.Prompts.Start(clock.Now(), u.IDHash(), uncached, j.info.Prefixes)}
	if uncached >= promptwork.NoticeTokens {
		j.ReportPrompts()
	}
	return r
}

// firstEvent records that the prompt is read.
func (p *promptReading) firstEvent() {
	if p != nil {
		p.tracker.FirstEvent(clock.Now(), p.reading)
	}
}

// abandon records the end of an attempt, unless its first event is recorded already.
func (p *promptReading) abandon() {
	if p != nil {
		p.tracker.Abandon(clock.Now(), p.reading)
	}
}

// PromptPicks returns the number of requests that were placed at another engine than
// the affine one because of prompts ahead.
func (g *Gateway) PromptPicks() int64 { return g.promptPicks.Load() }
