package shedding

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// shortageTTL is the time without rejections and refusals after which a shortage has
	// ended.
	shortageTTL = 3 * time.Second
	// refusalTTL is the time without refusals after which there are none until the
	// upstreams are full again.
	refusalTTL = time.Second
	// reportTTL is the age at which rates of a peer are ignored. A router of 90 hears
	// from each peer every 0.9 s.
	reportTTL = 1200 * time.Millisecond
	// viewTTL is how long the shares are cached.
	viewTTL = 50 * time.Millisecond
	// brokenTTL is how long an upstream that rejects everything is avoided.
	brokenTTL = 2 * time.Second
	// classTTL is the time without requests after which a class is removed.
	classTTL = 10 * time.Second
	// maxServices, maxClasses, maxUpstreams and maxPeers limit the state. Requests of
	// further classes count as one class for each priority, and those of further
	// services are always admitted.
	maxServices  = 256
	maxClasses   = 256
	maxUpstreams = 64
	maxPeers     = 4096
)

// Request describes a request that is about to be sent to a service.
type Request struct {
	Service   string
	Workspace string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Objective is the latency objective, 0 if there is none.
	Objective time.Duration
	// Elapsed is the time since the request arrived, and Remaining the time until the
	// router must have responded.
	Elapsed, Remaining time.Duration
	// CallerRemaining is the time until the caller's own deadline, 0 if it is not known.
	CallerRemaining time.Duration
}

func (r Request) class() class {
	return class{uint8(min(max(r.Priority, 0), 255)), hashOf(r.Workspace)}
}

// classState is what this router knows about its own requests of a class.
type classState struct {
	demand rate
	// credit is the carried remainder: a request is admitted when it reaches 1.
	credit float64
	seenAt clock.Instant
}

// presence is whether an upstream completes requests, and when it returned after an
// absence, 0 if it was there from the start.
type presence struct {
	present    bool
	returnedAt clock.Instant
}

// upstreamState holds the responses of one upstream to this router.
type upstreamState struct{ completed, rejected rate }

// service is the state of one service.
type service struct {
	name               string
	classes            map[class]*classState
	upstreams          map[id]*upstreamState
	latency, objective rate
	usedAt             clock.Instant
	// firstUsedAt is when this router had its first request to the service.
	firstUsedAt clock.Instant
	// usual is the mean latency of this router's requests while there is no shortage,
	// over usualCount of them.
	usual      float64
	usualCount int
	// fullAt is when the rates last showed that the upstreams are full, 0 before.
	fullAt clock.Instant
	// rejectedAt is when this router or a peer last saw a rejection, refusedAt when this
	// router last refused a request. Both are 0 before.
	rejectedAt, refusedAt clock.Instant
	// since is the start of the shortage, 0 without one.
	since clock.Instant
	view  *view
	// peak is the highest capacity seen, of the service and of one upstream.
	peak, upstreamPeak peak
	// presence holds the upstreams that have completed requests, and brokenAt when one
	// last rejected everything.
	presence map[id]presence
	brokenAt map[id]clock.Instant
	// slot is the last time that a refused caller was told to come back at.
	slot clock.Instant
	// admitted and refused count requests during shortages.
	admitted, refused int64
}

// peer holds the last reports of another router.
type peer struct {
	reports map[id]*report
	at      clock.Instant
}

// Controller decides which requests are sent. It is designed for 9 to 300 routers that
// share a service of a few upstreams, 1 to 15 requests per second each, and demands of up
// to 9 times the capacity. It is safe for concurrent use.
type Controller struct {
	random func() float64

	mu sync.Mutex
	// routers is the number of live routers.
	routers  int
	services map[id]*service
	peers    map[string]*peer
	changes  []Change
	// refused counts by reason; all counters are over all services.
	refused             map[string]int64
	admitted, shortages int64
}

// New returns a controller without any state.
func New() *Controller {
	return newController(rand.Float64)
}

func newController(random func() float64) *Controller {
	return &Controller{random: random, services: map[id]*service{}, peers: map[string]*peer{}, refused: map[string]int64{}}
}

// service returns the state of a service, or nil if there are too many.
func (c *Controller) service(now clock.Instant, name string) *service {
	key := hashOf(name)
	s := c.services[key]
	if s == nil && len(c.services) >= maxServices {
		return nil
	}
	if s == nil {
		s = &service{name: name, firstUsedAt: now, classes: map[class]*classState{}, upstreams: map[id]*upstreamState{}, presence: map[id]presence{}, brokenAt: map[id]clock.Instant{}}
		c.services[key] = s
		for _, p := range c.peers {
			s.noteReport(now, p)
		}
	}
	s.usedAt = now
	return s
}

// noteReport notes that a peer saw rejections by the service.
func (s *service) noteReport(now clock.Instant, p *peer) {
	r := p.reports[hashOf(s.name)]
	if r == nil || now.Sub(p.at) > reportTTL {
		return
	}
	for _, u := range r.upstreams {
		if u.rejected > 0 {
			s.rejectedAt = max(s.rejectedAt, p.at)
		}
	}
}

// short reports whether capacity is short.
func (s *service) short(now clock.Instant) bool {
	last := max(s.rejectedAt, s.refusedAt)
	return last != 0 && now.Sub(last) < shortageTTL
}

// refuses reports whether requests may be refused: the upstreams were full recently, or
// requests are still refused because they were.
func (s *service) refuses(now clock.Instant) bool {
	return s.fullAt != 0 && now.Sub(s.fullAt) < shortageTTL || s.refusedAt != 0 && now.Sub(s.refusedAt) < refusalTTL
}

// class returns the state of a class.
func (c *Controller) class(now clock.Instant, s *service, key class) (class, *classState) {
	state := s.classes[key]
	if state == nil && len(s.classes) >= maxClasses {
		key.workspace = otherID
		state = s.classes[key]
	}
	if state == nil {
		// A random start keeps many routers with few requests each from refusing
		// their first ones at the same time.
		state = &classState{credit: c.random()}
		s.classes[key] = state
	}
	state.seenAt = now
	return key, state
}

// upstream returns the state of an upstream.
func (s *service) upstream(name string) *upstreamState {
	key := hashOf(name)
	u := s.upstreams[key]
	if u == nil && len(s.upstreams) >= maxUpstreams {
		return &upstreamState{}
	}
	if u == nil {
		u = &upstreamState{}
		s.upstreams[key] = u
	}
	return u
}

// Completed counts a response of an upstream that ran a request.
func (c *Controller) Completed(now clock.Instant, name, upstream string, latency, objective time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(now, name)
	if s == nil {
		return
	}
	s.upstream(upstream).completed.add(now, 1)
	ms := float64(latency) / float64(time.Millisecond)
	s.latency.add(now, ms)
	if !s.short(now) {
		s.usualCount = min(s.usualCount+1, usualSample)
		s.usual += (ms - s.usual) / float64(s.usualCount)
	}
	s.objective.add(now, float64(objective)/float64(time.Millisecond))
}

// Rejected counts a request that an upstream rejected because it is full.
func (c *Controller) Rejected(now clock.Instant, name, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(now, name)
	if s == nil {
		return
	}
	s.upstream(upstream).rejected.add(now, 1)
	s.rejectedAt = now
	c.updateShortage(now, s)
}

// report returns this router's rates for a service, each read by get.
func (s *service) report(now clock.Instant, get func(rate, clock.Instant) float64) *report {
	r := &report{
		service: hashOf(s.name), latency: get(s.latency, now), objective: get(s.objective, now),
		demand: map[class]float64{}, upstreams: map[id]upstreamRates{},
	}
	const least = 0.5 / rateScale
	for key, state := range s.classes {
		if n := get(state.demand, now); n >= least {
			r.demand[key] = n
		}
	}
	for key, u := range s.upstreams {
		rates := upstreamRates{get(u.completed, now), get(u.rejected, now)}
		if rates.completed >= least || rates.rejected >= least {
			r.upstreams[key] = rates
		}
	}
	return r
}

// currentView returns the shares of a service, from rates of the last viewTTL.
func (c *Controller) currentView(now clock.Instant, s *service) *view {
	if s.view != nil && now.Sub(s.view.at) < viewTTL {
		return s.view
	}
	reports := []*report{s.report(now, rate.get)}
	key := hashOf(s.name)
	var oldest time.Duration
	for _, p := range c.peers {
		r, age := p.reports[key], now.Sub(p.at)
		if r == nil || age > reportTTL {
			continue
		}
		reports = append(reports, r)
		oldest = max(oldest, age)
	}
	v := sumReports(now, reports)
	if len(reports) == 1 && v.completed+v.rejected < minSample {
		v = sumReports(now, []*report{s.report(now, rate.getSlow)})
		v.slow = true
	}
	v.peers, v.oldest = len(reports)-1, oldest
	if s.usualCount >= minUsualSample {
		v.usual = time.Duration(s.usual * float64(time.Millisecond))
	}
	full := v.full()
	if full {
		s.fullAt = now
	}
	s.upstreamPeak.update(now, v.busiest(), full)
	s.noteReturns(now, v, s.upstreamPeak.get(now))
	s.peak.update(now, v.completed, full)
	v.share(s.peak.get(now), float64(len(reports))/float64(max(c.routers, len(reports))))
	for u := range v.brokenUpstreams {
		s.brokenAt[u] = now
	}
	s.view = v
	return v
}

// noteReturns adds the capacity of upstreams that have returned: those that completed
// almost nothing before, and now complete less than usual although they reject nothing.
func (s *service) noteReturns(now clock.Instant, v *view, usual float64) {
	busiest := v.busiest()
	if v.completed < minSample {
		return
	}
	first := len(s.presence) == 0
	for key := range s.presence {
		if _, ok := v.upstreams[key]; !ok {
			s.presence[key] = presence{}
		}
	}
	for key, u := range v.upstreams {
		p, known := s.presence[key]
		switch {
		case first || !known && len(s.presence) >= maxUpstreams:
			p = presence{present: true}
		case u.completed < absentShare*busiest:
			p = presence{}
		case !p.present:
			p = presence{present: true, returnedAt: now}
		}
		s.presence[key] = p
		idle := u.completed < idleShare*max(usual, busiest) && u.rejected < fullRejected*u.completed
		if idle && p.returnedAt != 0 && now.Sub(p.returnedAt) < returnTime {
			v.returned += max(usual, busiest) - u.completed
		}
	}
}

// Broken reports whether an upstream rejects everything while others do not, so that
// requests should rather go to them.
func (c *Controller) Broken(now clock.Instant, name, upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[hashOf(name)]
	if s == nil {
		return false
	}
	at, ok := s.brokenAt[hashOf(upstream)]
	return ok && now.Sub(at) < brokenTTL
}

// SetRouters sets the number of live routers.
func (c *Controller) SetRouters(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers = n
}

// MergePeer replaces the rates of a peer by those of a section of its datagram, which is
// empty if the peer sees no shortage.
func (c *Controller) MergePeer(now clock.Instant, name string, section []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(section) == 0 {
		delete(c.peers, name)
		return nil
	}
	reports, err := decodeReports(section)
	if err != nil {
		return err
	}
	if c.peers[name] == nil && len(c.peers) >= maxPeers {
		return nil
	}
	p := &peer{reports: map[id]*report{}, at: now}
	for _, r := range reports {
		p.reports[r.service] = r
	}
	c.peers[name] = p
	for _, r := range reports {
		if s := c.services[r.service]; s != nil {
			s.noteReport(now, p)
			c.updateShortage(now, s)
		}
	}
	return nil
}

// Section returns this router's rates for services whose capacity is short, or nil.
func (c *Controller) Section(now clock.Instant) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var d []byte
	for _, s := range c.services {
		if !s.short(now) {
			continue
		}
		if d == nil {
			d = []byte{reportFormat}
		}
		if next := s.report(now, rate.get).append(d); len(next) <= maxReportBytes {
			d = next
		}
	}
	return d
}
