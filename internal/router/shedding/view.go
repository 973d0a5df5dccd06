package shedding

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// fullRejected is the share of rejected requests at which the upstreams are
	// certainly full: random arrivals at a load of 1 fill the queues of some of them
	// to that extent.
	fullRejected = 0.025
	// highRejected is the share of rejected requests at which only minProbe is added.
	highRejected = 0.1
	// fullProbe and minProbe are the shares by which the admitted rate exceeds that of
	// the completed requests at fullRejected and at highRejected. With less, the
	// upstreams idle at times, since arrivals are random.
	fullProbe = 0.03
	minProbe  = 0.02
	// queueingRatio is the ratio of the mean latency to the usual one from which the
	// upstreams are taken to have queues. Full queues of 24 requests for 6 slots make it
	// 5. If the usual one is not known, idleRatio is that to the objective. Below it,
	// rejections are tolerated up to toleratedRejected, since fewer requests may not
	// reduce them.
	queueingRatio     = 1.5
	idleRatio         = 0.3
	toleratedRejected = 0.1
	// minRejections is the number of rejections from which a router without peers refuses
	// requests within startTime after its first one.
	minRejections = 2
	startTime     = 2 * time.Second
	// usualSample is the number of requests over which the usual latency is averaged,
	// minUsualSample that from which it is used.
	usualSample    = 200
	minUsualSample = 20
	// idleProbe is added without rejections. Within the age of the rates the queues of
	// the upstreams hold what is too much.
	idleProbe = 0.25
	// maxProbe is added without rejections and queues if the capacity was higher before.
	maxProbe = 0.6
	// priorRequests per second with fullRejected are added to the measured ones, so
	// that the few responses that one router sees do not count as proof of idleness.
	priorRequests = 10
	// slowRatio is the ratio of mean latency to objective above which the queues of the
	// upstreams are shortened by slowDrain at most.
	slowRatio = 0.5
	slowDrain = 0.12
	// peakHalfLife is the time in which a former capacity counts half.
	peakHalfLife = time.Minute
	// brokenRejected is the rate of rejections from which an upstream that completes
	// nothing, while others do, counts as broken instead of full.
	brokenRejected = 5
	// minSample is the rate of responses from which rateWindow and the comparison of
	// upstreams are meaningful.
	minSample = 30
	// absentShare is the share of the completions of the busiest upstream below which
	// another one counts as absent. One that has returned is assumed to complete as much
	// as upstreams usually do, for returnTime, and until it reaches idleShare of that or
	// rejects something.
	absentShare = 0.05
	idleShare   = 0.75
	returnTime  = 2 * time.Second
	// minCapacity is admitted by all routers in any case, so that upstreams are used again
	// after all were out. In requests per second.
	minCapacity = 2
	// negligible is a rate that is left by rounding.
	negligible = 1e-6
)

// view is the sum of the rates of this router and of the peers heard recently, and the
// shares that follow from it.
type view struct {
	at clock.Instant
	// peers is the number of peers in the sum, and oldest the age of their oldest rates.
	peers  int
	oldest time.Duration
	// slow reports whether the rates are those with slowWindow.
	slow bool
	// upstreams are the rates of the upstreams that do not reject everything, and
	// brokenUpstreams the others.
	upstreams       map[id]upstreamRates
	brokenUpstreams map[id]bool
	// returned is the expected capacity of upstreams that have returned.
	returned float64
	// completed, rejected and broken are requests per second; broken counts the
	// rejections by upstreams that reject everything.
	completed, rejected, broken float64
	// latency and objective are the means over the completed requests, and usual is the
	// mean latency without a shortage, 0 if it is not known.
	latency, objective, usual time.Duration
	demand                    map[class]float64
	// admitted is the rate that may be sent to the upstreams.
	admitted float64
	shares   map[class]float64
	// closedFrom is the first priority of which nothing is admitted.
	closedFrom int
}

// sumReports returns a view with the sum of the reports.
func sumReports(now clock.Instant, reports []*report) *view {
	v := &view{at: now, demand: map[class]float64{}, shares: map[class]float64{}, closedFrom: math.MaxInt, brokenUpstreams: map[id]bool{}}
	upstreams := map[id]upstreamRates{}
	var latency, objective float64
	for _, r := range reports {
		latency += r.latency
		objective += r.objective
		for c, n := range r.demand {
			v.demand[c] += n
		}
		for u, s := range r.upstreams {
			sum := upstreams[u]
			upstreams[u] = upstreamRates{sum.completed + s.completed, sum.rejected + s.rejected}
		}
	}
	for _, s := range upstreams {
		v.completed += s.completed
	}
	count := len(upstreams)
	v.upstreams = upstreams
	for u, s := range upstreams {
		if s.rejected >= brokenRejected && s.completed < s.rejected/20 && s.completed < v.completed/float64(10*count) {
			v.broken += s.rejected
			v.brokenUpstreams[u] = true
			delete(upstreams, u)
			continue
		}
		v.rejected += s.rejected
	}
	if v.completed > 0 {
		v.latency = time.Duration(latency / v.completed * float64(time.Millisecond))
		v.objective = time.Duration(objective / v.completed * float64(time.Millisecond))
	}
	return v
}

// rejectedShare returns the share of rejected requests, corrected by the prior.
func (v *view) rejectedShare() float64 {
	prior := float64(priorRequests)
	if v.slow {
		prior *= float64(rateWindow) / float64(slowWindow)
	}
	return (v.rejected + fullRejected*prior) / (v.completed + v.rejected + prior)
}

// probe returns the share by which the admitted rate exceeds that of the completed
// requests. peak is the capacity measured earlier.
func (v *view) probe(peak float64) float64 {
	rejected := v.rejectedShare()
	idle := idleProbe
	if v.completed > 0 {
		idle = min(max(peak/v.completed-1, idleProbe), maxProbe)
	}
	switch {
	case !v.full() && !v.queueing():
		return idle
	case !v.full():
		return idleProbe + (fullProbe-idleProbe)*min(1, rejected/fullRejected)
	case !v.queueing():
		// As many as leave toleratedRejected.
		return 1/(1-toleratedRejected) - 1
	}
	p := max(minProbe, fullProbe+(minProbe-fullProbe)*(rejected-fullRejected)/(highRejected-fullRejected))
	if ratio := v.latencyRatio(); ratio > slowRatio {
		p -= min(slowDrain, slowDrain*(ratio-slowRatio)/(1-slowRatio))
	}
	return p
}

// queueing reports whether requests take longer than usual, as they do while the
// upstreams have queues. Some upstreams reject requests for other reasons.
func (v *view) queueing() bool {
	switch {
	case v.usual > 0:
		return float64(v.latency) >= queueingRatio*float64(v.usual)
	case v.objective > 0:
		return v.latencyRatio() >= idleRatio
	}
	return true
}

// full reports whether the upstreams are full.
func (v *view) full() bool {
	rejected := v.rejectedShare()
	return rejected >= fullRejected && v.queueing() || rejected >= toleratedRejected
}

// inconclusive reports whether a router that has just started and hears no peers has seen
// too few rejections to refuse requests. After a loss of all routers each one has had a
// few requests, of which hardly any is completed yet.
func (s *service) inconclusive(now clock.Instant, v *view) bool {
	return v.slow && now.Sub(s.firstUsedAt) < startTime && v.rejected*slowWindow.Seconds() < minRejections
}

// latencyRatio returns the ratio of the mean latency to the mean objective, 0 if there
// is no objective.
func (v *view) latencyRatio() float64 {
	if v.objective <= 0 {
		return 0
	}
	return float64(v.latency) / float64(v.objective)
}

// share computes the admitted rate and the shares of the classes: all of the more
// urgent priorities first, and equal parts for the workspaces of the one that does not
// fit. part is the share of the live routers whose rates are included.
func (v *view) share(peak, part float64) {
	v.admitted = max(minCapacity*part, (v.completed+v.returned)*(1+v.probe(peak))) + v.broken
	byPriority := map[uint8][]class{}
	for c := range v.demand {
		byPriority[c.priority] = append(byPriority[c.priority], c)
	}
	left := v.admitted
	for _, priority := range slices.Sorted(maps.Keys(byPriority)) {
		if left = max(0, left-v.fill(byPriority[priority], left)); left < negligible {
			v.closedFrom = min(v.closedFrom, int(priority)+1)
		}
	}
}

// fill divides a rate equally among classes of one priority, none of which gets more
// than its demand, and returns the used part.
func (v *view) fill(classes []class, limit float64) (used float64) {
	slices.SortFunc(classes, func(a, b class) int { return cmp.Compare(v.demand[a], v.demand[b]) })
	for i, c := range classes {
		demand := v.demand[c]
		part := min(demand, (limit-used)/float64(len(classes)-i))
		v.shares[c] = 1
		if part < demand {
			v.shares[c] = part / demand
		}
		used += part
	}
	return used
}

// shareOf returns the share of the requests of a class that is admitted.
func (v *view) shareOf(c class) float64 {
	for _, key := range []class{c, {c.priority, otherID}} {
		if s, ok := v.shares[key]; ok {
			return s
		}
	}
	if int(c.priority) >= v.closedFrom {
		return 0
	}
	return 1
}

// totalDemand returns the rate of requests of all classes.
func (v *view) totalDemand() (sum float64) {
	for _, n := range v.demand {
		sum += n
	}
	return sum
}

// busiest returns the completions of the upstream with the most.
func (v *view) busiest() (most float64) {
	for _, u := range v.upstreams {
		most = max(most, u.completed)
	}
	return most
}

// peak is the highest rate seen, which counts less the longer ago it was.
type peak struct {
	value float64
	at    clock.Instant
}

// get returns the rate weighted by its age.
func (p *peak) get(now clock.Instant) float64 {
	return p.value * math.Exp2(-now.Sub(p.at).Seconds()/peakHalfLife.Seconds())
}

// update raises the peak to a rate at which the upstreams were full.
func (p *peak) update(now clock.Instant, value float64, full bool) {
	if full && value > p.get(now) {
		*p = peak{value, now}
	}
}
