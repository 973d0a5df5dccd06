package promptwork

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

const (
	// defaultRate is the reading rate of an engine, in tokens a ms, of which nothing is
	// known: the middle of the usual rates.
	defaultRate = 50.0
	// minRate and maxRate limit what is learned from one prompt.
	minRate, maxRate = 20.0, 120.0
	// rateRise and rateFall are the weights of a higher and a lower observed rate. A
	// prompt that waited for prompts of other routers looks like a slow engine, so that
	// the higher rates tell more.
	rateRise, rateFall = 0.3, 0.1
	// minMeasuredTokens is the number of tokens, with those ahead, from which the time
	// to the first event tells the rate. Below it the steps of the engine and the
	// network decide.
	minMeasuredTokens = 2048
	// stepTime is the time to the first event that does not depend on the prompt: two
	// steps of a busy engine and the network.
	stepTime = 15 * time.Millisecond
	// NoticeTokens is the number of uncached tokens from which peers are told of a
	// prompt at once: one chunk, which delays others by 22 to 68 ms.
	NoticeTokens = 2048
	// readingTTL is how long an engine counts as having a prefix that it was sent. Then
	// the location of the prefix has arrived from the router that got the first event.
	readingTTL = 1500 * time.Millisecond
	// maxPrefixes is the number of prefixes of one prompt that are considered, the
	// longest ones.
	maxPrefixes = 32
	// maxReading limits the prefixes that are known to be in reading.
	maxReading = 1 << 14
	// maxBacklog limits the backlog of one engine, and what a peer can add to it.
	maxBacklog = 1 << 20
	// maxEngines limits the engines that peers may add until the next Retain.
	maxEngines = 1 << 14
)

// engineState is the backlog of one engine as a fluid queue: tokens drain at the rate.
type engineState struct {
	// backlog is the number of tokens to read, as of updatedAt.
	backlog   float64
	updatedAt clock.Instant
	// sent is the number of tokens that were ever added to the backlog.
	sent float64
	// rate is in tokens a ms at the usual speed, 0 if it is unknown, and slowdown how
	// long work takes now as a multiple of the usual time, 0 if it is unknown.
	rate, slowdown float64
	// own are the prompts of this router without a first event, in order.
	own []*Reading
}

// location is a prefix at an engine.
type location struct {
	engine uint64
	prefix prefix.Hash
}

// Tracker estimates the backlogs of engines, which are given by ID hash. It is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex
	engines map[uint64]*engineState
	reading map[location]clock.Instant
	notices []Notice
	// service is the mean rate of the engines, for those without observations.
	service float64
}

// New returns a tracker of idle engines.
func New() *Tracker {
	return &Tracker{engines: map[uint64]*engineState{}, reading: map[location]clock.Instant{}, service: defaultRate}
}

// Reading is one prompt of this router that an engine reads.
type Reading struct {
	engine uint64
	tokens int
	// total is the number of tokens until the prompt is read, with those ahead.
	total float64
	// sent is that of the engine, including the prompt.
	sent    float64
	startAt clock.Instant
	ended   bool
}

// Notice tells peers of a long prompt.
type Notice struct {
	Engine uint64
	// Prefix is the longest shared prefix of the prompt, 0 if there is none.
	Prefix prefix.Hash
	Tokens int
}

// Start records that a prompt, of which the given number of tokens is not cached, is
// sent to an engine. The caller must call FirstEvent or Abandon once. prefixes are the
// shared prefixes of the prompt in ascending length.
func (t *Tracker) Start(now clock.Instant, engine uint64, uncached int, prefixes []prefix.Hash) *Reading {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.update(now, engine)
	uncached = max(0, uncached)
	e.add(float64(uncached))
	r := &Reading{engine: engine, tokens: uncached, total: e.backlog, sent: e.sent, startAt: now}
	e.own = append(e.own, r)
	if uncached < NoticeTokens {
		return r
	}
	n := Notice{Engine: engine, Tokens: uncached}
	if len(prefixes) > 0 {
		n.Prefix = prefixes[len(prefixes)-1]
	}
	t.notices = append(t.notices, n)
	for _, p := range prefixes[max(0, len(prefixes)-maxPrefixes):] {
		t.addReading(now, location{engine, p})
	}
	return r
}

// FirstEvent records that the first event of a response arrived, so that the prompt and
// those ahead of it are read.
func (t *Tracker) FirstEvent(now clock.Instant, r *Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	e := t.end(now, r)
	took := now.Sub(r.startAt) - stepTime
	if r.total >= minMeasuredTokens && took > 0 {
		e.learn(max(1, e.slowdown)*r.total/(float64(took)/float64(time.Millisecond)), t)
	}
	// The prompts ahead are read as well, so only those sent later are left.
	e.backlog = min(e.backlog, e.sent-r.sent)
}

// Abandon records that an attempt ended without a first event. The engine drops the
// prompt.
func (t *Tracker) Abandon(now clock.Instant, r *Reading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	e := t.end(now, r)
	left := e.backlog - (e.sent - r.sent)
	e.backlog -= min(max(0, left), float64(r.tokens))
}

// end removes a prompt from those in progress and returns the state of its engine.
func (t *Tracker) end(now clock.Instant, r *Reading) *engineState {
	r.ended = true
	e := t.update(now, r.engine)
	for i, o := range e.own {
		if o == r {
			e.own = append(e.own[:i], e.own[i+1:]...)
			break
		}
	}
	return e
}

// AddPeer records a long prompt that a peer has just sent.
func (t *Tracker) AddPeer(now clock.Instant, n Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Tokens <= 0 || t.engines[n.Engine] == nil && len(t.engines) >= maxEngines {
		return
	}
	e := t.update(now, n.Engine)
	e.add(float64(min(n.Tokens, maxBacklog)))
	if n.Prefix != 0 {
		t.addReading(now, location{n.Engine, n.Prefix})
	}
}

// TakeNotices returns the prompts that peers are to be told of.
func (t *Tracker) TakeNotices() []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.notices
	t.notices = nil
	return list
}

// Backlog is the estimate for one engine.
type Backlog struct {
	// Tokens is the number of tokens that a new prompt waits for.
	Tokens int
	// Rate is the reading rate in tokens a ms.
	Rate float64
	// Slowdown is how long work takes as a multiple of the usual time; Rate includes it.
	Slowdown float64
}

// Time returns the time until a prompt with a number of uncached tokens has its first
// event.
func (b Backlog) Time(uncached int) time.Duration {
	return time.Duration(max(1, b.Slowdown)*float64(stepTime)) + time.Duration(float64(b.Tokens+uncached)/b.Rate*float64(time.Millisecond))
}

// SetSlowdowns records how long work takes at engines now, as a multiple of the usual
// time.
func (t *Tracker) SetSlowdowns(now clock.Instant, engines []uint64, slowdowns []float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, key := range engines {
		if t.engines[key] != nil || slowdowns[i] > 1 {
			t.update(now, key).slowdown = slowdowns[i]
		}
	}
}

// Backlogs returns the estimates for engines.
func (t *Tracker) Backlogs(now clock.Instant, engines []uint64) []Backlog {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Backlog, len(engines))
	for i, key := range engines {
		list[i].Rate = t.service
		e := t.engines[key]
		if e == nil {
			continue
		}
		e.drain(now, t.service)
		list[i] = Backlog{Tokens: int(e.waiting()), Rate: e.currentRate(t.service), Slowdown: e.slowdown}
	}
	return list
}

// ReadsAt returns, for each of the engines, how many of the prefixes are in prompts that
// it was recently sent, so that they are cached there when a new prompt is read.
// prefixes must be in ascending length.
func (t *Tracker) ReadsAt(now clock.Instant, engines []uint64, prefixes []prefix.Hash) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]int, len(engines))
	for i, engine := range engines {
		for n := len(prefixes); n > max(0, len(prefixes)-maxPrefixes); n-- {
			if at, ok := t.reading[location{engine, prefixes[n-1]}]; ok && now.Sub(at) < readingTTL {
				counts[i] = n
				break
			}
		}
	}
	return counts
}

// Retain drops all engines whose IDs are not in ids and that have no prompts in
// progress, and prefixes that are not in reading any more.
func (t *Tracker) Retain(now clock.Instant, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := map[uint64]*engineState{}
	for _, id := range ids {
		key := xxhash.Sum64String(id)
		if e := t.engines[key]; e != nil {
			kept[key] = e
		}
	}
	for key, e := range t.engines {
		if len(e.own) > 0 {
			kept[key] = e
		}
	}
	t.engines = kept
	for l, at := range t.reading {
		if now.Sub(at) >= readingTTL {
			delete(t.reading, l)
		}
	}
}

func (t *Tracker) addReading(now clock.Instant, l location) {
	if len(t.reading) >= maxReading {
		clear(t.reading)
	}
	t.reading[l] = now
}

// update returns the state of an engine with the backlog as of now.
func (t *Tracker) update(now clock.Instant, engine uint64) *engineState {
	e := t.engines[engine]
	if e == nil {
		e = &engineState{updatedAt: now}
		t.engines[engine] = e
	}
	e.drain(now, t.service)
	return e
}

// add adds tokens to the backlog.
func (e *engineState) add(tokens float64) {
	e.backlog = min(e.backlog+tokens, maxBacklog)
	e.sent += tokens
}

func (e *engineState) drain(now clock.Instant, serviceRate float64) {
	e.backlog = max(0, e.backlog-e.currentRate(serviceRate)*float64(now.Sub(e.updatedAt))/float64(time.Millisecond))
	e.updatedAt = now
}

// currentRate returns the rate at the present speed of the engine.
func (e *engineState) currentRate(serviceRate float64) float64 {
	rate := e.rate
	if rate == 0 {
		rate = serviceRate
	}
	return rate / max(1, e.slowdown)
}

// waiting returns the backlog, at least the longest prompt of this router that has no
// first event yet: if it is overdue, there is a backlog that this router does not know.
func (e *engineState) waiting() float64 {
	waiting := e.backlog
	for _, r := range e.own {
		waiting = max(waiting, float64(r.tokens)/2)
	}
	return waiting
}

// learn adds an observed rate.
func (e *engineState) learn(rate float64, t *Tracker) {
	rate = min(max(rate, minRate), maxRate)
	if e.rate == 0 {
		e.rate = t.service
	}
	weight := rateFall
	if rate > e.rate {
		weight = rateRise
	}
	e.rate *= math.Exp(weight * math.Log(rate/e.rate))
	t.service += (e.rate - t.service) / 20
}
