package rollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

const (
	// unknownStart is how long a router that has just started waits for a peer or the
	// store to tell when an order was given, before it takes the order for a new one.
	unknownStart = 2500 * time.Millisecond
	// settleTime is how long a version that was not seen before gets no requests while
	// others serve the service: its order may reach this router later than its
	// registrations.
	settleTime = time.Second
	// completedHold is how long the old upstreams are left out after a completion. They
	// have stopped, and their registrations expire within seconds.
	completedHold = 30 * time.Second
	// minCanaries is the least number of upstreams of the new version that get requests,
	// so that one that fails for itself can be told.
	minCanaries = 2
	// canaryLoad is the number of upstreams that get requests in proportion to the share.
	// At 1 each carries the usual load of an upstream, so that trouble under load shows.
	canaryLoad = 1
	// keySpread limits the canary to a part of the prompts, so that it caches them.
	keySpread = 4
	// judgeInterval is the least time between two comparisons.
	judgeInterval = 100 * time.Millisecond
	// repeatFinal is how long routers tell each other of an ended roll-out.
	repeatFinal = 10 * time.Second
	// maxPeers and maxRows limit the outcomes kept of peers.
	maxPeers = 4096
	maxRows  = 1024
	// slackShare is the part of the slack of the exposure that routers use at first, so
	// that not all of them begin with the same request.
	slackShare = 0.5
)

// Controller holds the roll-outs in progress. It is safe for concurrent use.
type Controller struct {
	self string
	// limit and slack bound the requests that a bad version may get: limit times all
	// requests of the service in the duration of its roll-out, plus slack.
	limit, slack float64

	mu       sync.Mutex
	services map[string]*progress
	versions map[string]*versionHistory
	events   []Event
}

// versionHistory holds when the versions of a service without a roll-out were first
// seen.
type versionHistory struct {
	upstreams []*directory.Upstream
	firstSeen map[string]clock.Instant
	// holdUntil is the latest time at which one of them is left out.
	holdUntil clock.Instant
}

// progress is the roll-out of one service.
type progress struct {
	order Order
	// begun is when the order was given, 0 if not known yet, and learned when this
	// router read it.
	begun, learned clock.Instant
	// shifted is when this router began to shift its requests to the new version.
	shifted clock.Instant
	stage   Stage
	// endedAt is when this router learned the final stage.
	endedAt   clock.Instant
	withdrawn bool
	bad       bool
	finding   finding
	reason    string
	record    Record
	// rejected are the versions of earlier orders that were not completed.
	rejected map[string]bool
	// allowance is the number of requests that the new version may have got, and sent
	// those that it got, both from this router.
	allowance float64
	sent      int
	phase     string
	own       tally
	peers     map[string]peerTally
	pace      map[string]*routePace
	judgedAt  clock.Instant
	// wantedSince is when the record of the store first differed from wanted.
	wanted      Stage
	wantedSince clock.Instant
	lastWrite   clock.Instant
	split       split
}

// peerTally is what a peer told of its outcomes.
type peerTally struct {
	boot, sequence uint64
	rows           tally
}

// split is a list of upstreams divided by version.
type split struct {
	of        []*directory.Upstream
	next, old []*directory.Upstream
}

// Event is a change of a roll-out, for the log.
type Event struct {
	Kind, Service, To, Detail string
	Elapsed                   time.Duration
}

// New returns a controller without roll-outs. A bad version may get limit of the requests
// of its service between its order and the deadline, plus slack.
func New(self string, limit, slack float64) *Controller {
	return &Controller{self: self, limit: limit, slack: slack, services: map[string]*progress{}, versions: map[string]*versionHistory{}}
}

// SetOrders replaces the orders in force. live is set if this router has followed the
// orders since before, so that a new one has just been given. routers is the number of
// live routers.
func (c *Controller) SetOrders(now clock.Instant, orders []Order, live bool, routers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := map[string]bool{}
	for _, o := range orders {
		present[o.Service] = true
		p := c.services[o.Service]
		if p != nil && !p.withdrawn && p.order == o {
			continue
		}
		next := c.begin(now, o, p, routers)
		if live || p != nil {
			next.begun = now
		}
		c.services[o.Service] = next
		c.note(now, next, "ordered", "")
	}
	for service, p := range c.services {
		if present[service] || p.withdrawn {
			continue
		}
		if p.stage != Running {
			delete(c.services, service)
			continue
		}
		p.withdrawn, p.reason = true, "order withdrawn"
		c.note(now, p, "withdrawn", "")
	}
}

// begin returns the progress of a new order that follows an earlier one, which may be
// nil. An order for the version that is being rolled out already changes only the
// deadline.
func (c *Controller) begin(now clock.Instant, o Order, earlier *progress, routers int) *progress {
	p := &progress{
		order: o, learned: now, rejected: map[string]bool{}, own: tally{}, peers: map[string]peerTally{}, pace: map[string]*routePace{},
		allowance: fraction(c.self+o.Service+o.To) * min(1, slackShare*c.slack/float64(max(1, routers))),
	}
	if earlier == nil {
		return p
	}
	p.record = earlier.record
	maps.Copy(p.rejected, earlier.rejected)
	if earlier.order.To == o.To {
		p.stage, p.endedAt = earlier.stage, earlier.endedAt
		if earlier.stage == Running && !earlier.withdrawn {
			p.own, p.pace, p.bad, p.finding, p.reason = earlier.own, earlier.pace, earlier.bad, earlier.finding, earlier.reason
		}
		if earlier.stage == RolledBack {
			// The operator tries the version once more.
			p.stage = Running
		}
	} else if earlier.stage != Completed {
		p.rejected[earlier.order.To] = true
	}
	delete(p.rejected, o.To)
	return p
}

// fraction returns a number from 0 to 1 that depends on a text, the same at each call.
func fraction(text string) float64 { return float64(xxhash.Sum64String(text)) / math.MaxUint64 }

func (c *Controller) note(now clock.Instant, p *progress, kind, detail string) {
	elapsed := time.Duration(0)
	if p.begun != 0 {
		elapsed = now.Sub(p.begun)
	}
	c.events = append(c.events, Event{kind, p.order.Service, p.order.To, detail, elapsed})
}

// TakeEvents returns the changes since the last call.
func (c *Controller) TakeEvents() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events
	c.events = nil
	return events
}

// Active reports whether there are roll-outs to tell peers of.
func (c *Controller) Active(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.services {
		if p.active(now) {
			return true
		}
	}
	return false
}

func (p *progress) active(now clock.Instant) bool {
	return p.stage == Running || now.Sub(p.endedAt) < repeatFinal
}

func (c *Controller) schedule(p *progress) schedule {
	return schedule{duration: p.order.Duration, limit: c.limit}
}

// Request describes the request that an upstream is chosen for.
type Request struct {
	Service string
	// Key is the affinity key of the prompt, or the request's ID.
	Key string
	// Retry is set if an attempt has failed.
	Retry bool
	// Fresh is set if the operators' orders were confirmed recently.
	Fresh bool
}

// Choose divides the upstreams that receive new work into groups, of which the first with
// a usable upstream is to serve the request.
func (c *Controller) Choose(now clock.Instant, r Request, upstreams []*directory.Upstream) [][]*directory.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.services[r.Service]
	if p == nil {
		return [][]*directory.Upstream{c.settled(now, r.Service, upstreams)}
	}
	s := p.splitUpstreams(upstreams)
	switch {
	case p.stage == Completed && now.Sub(p.endedAt) > completedHold:
		return [][]*directory.Upstream{upstreams}
	case p.stage == Completed:
		return groups(s.next, nil)
	case p.stage == RolledBack || p.bad || p.withdrawn:
		return groups(s.old, nil)
	case len(s.next) == 0:
		return groups(s.old, nil)
	}
	share := c.currentShare(now, p, r.Fresh, s)
	c.notePhase(now, p, share)
	if !r.Retry && share < 1 {
		p.allowance += share
	}
	if len(s.old) == 0 {
		return groups(s.next, nil)
	}
	position := fraction(r.Key)
	switch {
	case share >= 1:
		return groups(s.next, s.old)
	case share <= 0 || r.Retry:
		return groups(s.old, nil)
	case p.shifted != 0 && position < share:
		return groups(canaries(p.order, s.next, share), s.old)
	case p.shifted != 0:
		return groups(s.old, s.next)
	case position < keySpread*share && float64(p.sent+1) <= p.allowance:
		return groups(canaries(p.order, s.next, share), s.old)
	}
	return groups(s.old, nil)
}

func groups(first, second []*directory.Upstream) [][]*directory.Upstream {
	if len(second) == 0 {
		return [][]*directory.Upstream{first}
	}
	return [][]*directory.Upstream{first, second}
}

// currentShare returns the share of the new version, and begins the shift when it is due.
// A router that does not know whether the order is still in force begins nothing.
func (c *Controller) currentShare(now clock.Instant, p *progress, fresh bool, s split) float64 {
	if p.begun == 0 {
		if now.Sub(p.learned) < unknownStart {
			return 0
		}
		p.begun = p.learned
	}
	plan := c.schedule(p)
	if p.shifted == 0 {
		elapsed := now.Sub(p.begun)
		if !fresh {
			return 0
		}
		if elapsed < plan.shiftAt() || !sufficient(s) {
			return plan.canaryShare(elapsed)
		}
		p.shifted = now
	}
	return plan.shiftShare(now.Sub(p.shifted))
}

// sufficient reports whether the new version has about as many upstreams as the old one.
func sufficient(s split) bool { return len(s.next) > 0 && 2*len(s.next) >= len(s.old) }

// notePhase notes changes of the share for the log.
func (c *Controller) notePhase(now clock.Instant, p *progress, share float64) {
	phase := "waiting"
	switch {
	case share >= 1:
		phase = "all"
	case p.shifted != 0:
		phase = "shift"
	case share > 0:
		phase = "canary"
	}
	if phase != p.phase {
		p.phase = phase
		c.note(now, p, "phase", phase)
	}
}

// canaries returns the upstreams of the new version that get requests at a share, the
// same at all routers.
func canaries(o Order, next []*directory.Upstream, share float64) []*directory.Upstream {
	count := max(minCanaries, int(math.Ceil(canaryLoad*share*float64(len(next)))))
	if count >= len(next) {
		return next
	}
	top := rendezvous.TopN(rendezvous.Key(o.Service+"/"+o.To), len(next), count, func(i int) (uint64, bool) { return next[i].IDHash(), true })
	list := make([]*directory.Upstream, len(top))
	for i, n := range top {
		list[i] = next[n]
	}
	return list
}

// splitUpstreams divides a list, which must not change, by version.
func (p *progress) splitUpstreams(upstreams []*directory.Upstream) split {
	if len(upstreams) == 0 || len(p.split.of) != len(upstreams) || &p.split.of[0] != &upstreams[0] {
		p.split = p.divide(upstreams)
	}
	return p.split
}

func (p *progress) divide(upstreams []*directory.Upstream) split {
	s := split{of: upstreams}
	for _, u := range upstreams {
		switch {
		case u.Version() == p.order.To:
			s.next = append(s.next, u)
		case !p.rejected[u.Version()]:
			s.old = append(s.old, u)
		}
	}
	return s
}

// settled returns the upstreams of a service without a roll-out, less those of a version
// that appeared a moment ago beside others.
func (c *Controller) settled(now clock.Instant, service string, upstreams []*directory.Upstream) []*directory.Upstream {
	if len(upstreams) == 0 {
		return upstreams
	}
	h := c.versions[service]
	if h == nil {
		h = &versionHistory{firstSeen: map[string]clock.Instant{}}
		c.versions[service] = h
	}
	if len(h.upstreams) != len(upstreams) || &h.upstreams[0] != &upstreams[0] {
		h.update(now, upstreams)
	}
	if now >= h.holdUntil {
		return upstreams
	}
	var known []*directory.Upstream
	for _, u := range upstreams {
		if now.Sub(h.firstSeen[u.Version()]) >= settleTime {
			known = append(known, u)
		}
	}
	if len(known) == 0 {
		return upstreams
	}
	return known
}

func (h *versionHistory) update(now clock.Instant, upstreams []*directory.Upstream) {
	first := len(h.firstSeen) == 0
	seen := map[string]clock.Instant{}
	for _, u := range upstreams {
		at, known := h.firstSeen[u.Version()]
		switch {
		case known:
		case first:
			at = now.Add(-settleTime)
		default:
			at = now
			h.holdUntil = now.Add(settleTime)
		}
		seen[u.Version()] = at
	}
	h.upstreams, h.firstSeen = upstreams, seen
}

// RecordSent records that a request is sent to an upstream.
func (c *Controller) RecordSent(service string, u *directory.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.services[service]; p != nil && u.Version() == p.order.To {
		p.sent++
	}
}

// RecordOutcome records how an attempt at an upstream ended. Rejected attempts, and those
// whose caller left, say nothing about the version and are not recorded.
func (c *Controller) RecordOutcome(service, route string, u *directory.Upstream, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.services[service]
	if p == nil || p.stage != Running || p.rejected[u.Version()] {
		return
	}
	pace := p.pace[route]
	if pace == nil {
		pace = &routePace{}
		p.pace[route] = pace
	}
	key := rowKey{route: uint32(xxhash.Sum64String(route))}
	if u.Version() == p.order.To {
		key.upstream = max(1, uint32(u.IDHash()))
	}
	row, known := p.own[key]
	if !known && len(p.own) >= maxRows {
		return
	}
	row.total++
	if o.Failed {
		row.failed++
	} else if slow, known := pace.compare(o); known {
		row.timed++
		if slow {
			row.slow++
		}
	}
	p.own[key] = row
	if key.upstream == 0 && !o.Failed {
		pace.add(o)
	}
}

// Judge compares the versions of each roll-out in progress by all outcomes that this
// router knows. It reports whether a version was found to be bad.
func (c *Controller) Judge(now clock.Instant) (found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.services {
		if p.stage != Running || p.bad || now.Sub(p.judgedAt) < judgeInterval {
			continue
		}
		p.judgedAt = now
		rows := tally{}
		add := func(more tally) {
			for key, n := range more {
				rows[key] = rows[key].plus(n)
			}
		}
		add(p.own)
		for _, peer := range p.peers {
			add(peer.rows)
		}
		if f, bad := judge(rows); bad {
			p.bad, p.finding, p.reason = true, f, f.kind
			found = true
			c.note(now, p, "bad version", f.text())
		}
	}
	return found
}

// Exposed returns how many requests this router sent to the new version, for the metrics.
func (c *Controller) Exposed() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := map[string]int{}
	for service, p := range c.services {
		sent[service] = p.sent
	}
	return sent
}

// OrderIDs returns the sorted identities of the orders in force, by which routers compare
// what they know.
func (c *Controller) OrderIDs() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []uint64
	for _, p := range c.services {
		if !p.withdrawn {
			ids = append(ids, p.order.ID())
		}
	}
	slices.Sort(ids)
	return ids
}

// Split divides upstreams of a service into those of the new version and those of the
// old one.
func (c *Controller) Split(service string, upstreams []*directory.Upstream) (next, old []*directory.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.services[service]
	if p == nil {
		return nil, upstreams
	}
	s := p.divide(upstreams)
	return s.next, s.old
}

// Services returns the sorted names of the services with an order.
func (c *Controller) Services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.services))
}

// State returns the fields that describe the roll-outs, for the metrics and operators.
func (c *Controller) State(now clock.Instant) []map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, service := range slices.Sorted(maps.Keys(c.services)) {
		p := c.services[service]
		elapsed := time.Duration(0)
		if p.begun != 0 {
			elapsed = now.Sub(p.begun)
		}
		list = append(list, map[string]any{
			"service": service, "to": p.order.To, "stage": p.stage.String(), "phase": p.phase, "elapsed_ms": elapsed.Milliseconds(),
			"duration_ms": p.order.Duration.Milliseconds(), "bad": p.bad, "reason": p.reason, "sent": p.sent, "peers": len(p.peers),
		})
	}
	return list
}
