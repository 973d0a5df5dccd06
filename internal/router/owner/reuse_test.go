package owner

import (
	"cmp"
	"container/list"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	churnEngines       = 9
	churnChats         = 2000
	churnDuration      = time.Hour
	churnCacheTokens   = 600_000 // for each engine
	maxCandidates      = 4       // home and three more
	spikeStart         = 30 * time.Minute
	spikeEnd           = 33 * time.Minute
	spikeFactor        = 3
	arrivalRate        = 7.0 // requests per second
	meanDecodeDuration = 8 * time.Second
	baseTTFT           = 38 * time.Millisecond
	prefillPerToken    = 100 * time.Microsecond
)

// churnEngine is an engine with a prefix cache that evicts the least recently
// used chat.
type churnEngine struct {
	name       string
	up         bool
	boot       int
	upAt       time.Time
	load       int
	usedTokens int
	lru        *list.List // of *cachedChat, newest first
	chats      map[uint64]*list.Element
}

type cachedChat struct {
	chat   uint64
	tokens int
}

func (e *churnEngine) cachedTokens(chat uint64) int {
	if el := e.chats[chat]; el != nil {
		return el.Value.(*cachedChat).tokens
	}
	return 0
}

func (e *churnEngine) cachePrompt(chat uint64, tokens int) {
	if el := e.chats[chat]; el != nil {
		e.usedTokens -= el.Value.(*cachedChat).tokens
		e.lru.Remove(el)
	}
	e.chats[chat] = e.lru.PushFront(&cachedChat{chat, tokens})
	for e.usedTokens += tokens; e.usedTokens > churnCacheTokens; {
		oldest := e.lru.Remove(e.lru.Back()).(*cachedChat)
		delete(e.chats, oldest.chat)
		e.usedTokens -= oldest.tokens
	}
}

func (e *churnEngine) restart() {
	e.boot++
	e.usedTokens, e.lru, e.chats = 0, list.New(), map[uint64]*list.Element{}
}

// churnRequest is a running request.
type churnRequest struct {
	engine       *churnEngine
	boot         int
	end          time.Time
	id           uint64
	ttft         time.Duration
	promptTokens int
	hitTokens    int
}

// placementFunc returns the engine that admits a chat and a grant id, or nil if
// none does.
type placementFunc func(c *churn, chat uint64) (*churnEngine, uint64)

// churn simulates a fleet of engines with returning chats under one placement
// policy.
type churn struct {
	random    *rand.Rand
	now       time.Time
	engines   []*churnEngine
	listed    map[string]bool // engines that entries consider up, updated every 3 s
	running   []churnRequest
	tokens    map[uint64]int
	totals    []digestSample
	table     *Table // used by placeByOwners only
	env       *fakeEnv
	placement placementFunc

	hitTokens, promptTokens, refused int
	maxSkew                          float64
}

// PoolLoad returns the lowest total of the last 3 s, published every 500 ms.
func (c *churn) PoolLoad(time.Time, string) (int, int) {
	lowest, up := math.MaxInt, 0
	for _, t := range c.totals {
		lowest = min(lowest, t.load)
	}
	for _, e := range c.engines {
		if e.up {
			up++
		}
	}
	return lowest, up
}

// LoadAge returns the mean age of digests exchanged every 500 ms.
func (c *churn) LoadAge(time.Time, string) time.Duration { return 500 * time.Millisecond }

func (c *churn) candidates(chat uint64) []*churnEngine {
	var names []string
	for name, up := range c.listed {
		if up {
			names = append(names, name)
		}
	}
	var order []*churnEngine
	for _, n := range rendezvous.Order(chat, names) {
		i := slices.IndexFunc(c.engines, func(e *churnEngine) bool { return e.name == n })
		order = append(order, c.engines[i])
	}
	return order
}

// admits applies the full limit of an owner that knows the engine's exact load.
func (c *churn) admits(e *churnEngine) bool {
	total, up := c.PoolLoad(c.now, "")
	limit := loadBound(c.env.loadFactor, total, up, c.env.loadFloor) - reserve(c.env.loadFloor, c.env.coldLimit)
	return e.up && e.load+1 <= min(limit, c.env.maxLoad)
}

func (c *churn) firstAdmitting(order []*churnEngine) (*churnEngine, uint64) {
	for _, e := range order[:min(maxCandidates, len(order))] {
		if c.admits(e) {
			return e, 0
		}
	}
	return nil, 0
}

// placeByOwners places a chat as the entry does: home, recorded placement, then
// the next candidates, with the owner's table deciding.
func placeByOwners(c *churn, chat uint64) (*churnEngine, uint64) {
	order := c.candidates(chat)
	if len(order) == 0 {
		return nil, 0
	}
	home := order[0]
	ask := func(e *churnEngine, isHome bool) *rpc.AcquireResponse {
		return c.table.Acquire(context.Background(), c.now, &rpc.AcquireRequest{Upstream: e.name, Chat: chat, Home: isHome})
	}
	r := ask(home, true)
	if r.GetOutcome() == rpc.Outcome_OUTCOME_REDIRECT {
		i := slices.IndexFunc(order, func(e *churnEngine) bool { return e.name == r.GetRedirect() })
		if i > 0 {
			order = append([]*churnEngine{order[i]}, append(order[:i:i], order[i+1:]...)...)
		}
		r = ask(order[0], false)
	}
	for i := 0; ; i++ {
		if r.GetOutcome() == rpc.Outcome_OUTCOME_GRANTED {
			c.table.Sync(c.now, &rpc.SyncRequest{Placements: []*rpc.Placement{{Chat: chat, Home: home.name, Upstream: order[i].name}}})
			return order[i], r.GetGrant()
		}
		if i+1 >= min(maxCandidates, len(order)) {
			return nil, 0
		}
		r = ask(order[i+1], false)
	}
}

func placeByRendezvous(c *churn, chat uint64) (*churnEngine, uint64) {
	return c.firstAdmitting(c.candidates(chat))
}

var placementPolicies = []struct {
	name      string
	placement placementFunc
}{
	{"owners", placeByOwners},
	{"rendezvous", placeByRendezvous},
	{"leastloaded", func(c *churn, _ uint64) (*churnEngine, uint64) {
		order := slices.Clone(c.engines)
		c.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		slices.SortStableFunc(order, func(a, b *churnEngine) int { return cmp.Compare(a.load, b.load) })
		return c.firstAdmitting(slices.DeleteFunc(order, func(e *churnEngine) bool { return !e.up }))
	}},
	// The engine that caches most of the chat, regardless of load, or else the
	// one with the least used cache.
	{"best", func(c *churn, chat uint64) (*churnEngine, uint64) {
		return slices.MaxFunc(c.engines, func(a, b *churnEngine) int {
			return cmp.Or(compareBool(a.up, b.up), cmp.Compare(a.cachedTokens(chat), b.cachedTokens(chat)), cmp.Compare(b.usedTokens, a.usedTokens))
		}), 0
	}},
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

func newChurn(placement placementFunc, seed uint64) *churn {
	c := &churn{
		random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1e9, 0), placement: placement,
		listed: map[string]bool{}, tokens: map[uint64]int{}, env: newFakeEnv(),
	}
	c.env.maxLoad, c.env.coldLimit = 24, 4
	c.table = New("r", c, c.env, c.env)
	c.totals = []digestSample{{time: c.now}}
	for i := range churnEngines + 1 {
		e := &churnEngine{name: engineName(i), up: true}
		e.restart()
		c.engines = append(c.engines, e)
		c.listed[e.name] = true
		// All engines start with a handover, as if from a previous owner.
		c.table.TakeOwnership(c.now, Upstream{ID: e.name, Pool: "p"}, 2, &rpc.HandoverRequest{Fencing: 1, Limit: 24, Boot: "0", Warm: true})
	}
	c.stopEngine(c.engines[churnEngines], 20*time.Minute) // joins after 20 minutes
	return c
}

// stopEngine stops an engine; it restarts after d with an empty cache.
func (c *churn) stopEngine(e *churnEngine, d time.Duration) {
	e.up, e.upAt = false, c.now.Add(d)
	e.restart()
	c.table.SetListedState(c.now, Upstream{ID: e.name, Draining: true})
	for i := range c.running {
		if c.running[i].engine == e {
			c.running[i].end = c.now
		}
	}
}

// step advances the clock by 100 ms.
func (c *churn) step(start time.Time) {
	c.now = c.now.Add(100 * time.Millisecond)
	elapsed := c.now.Sub(start)
	c.running = slices.DeleteFunc(c.running, func(s churnRequest) bool {
		if c.now.Before(s.end) {
			return false
		}
		s.engine.load--
		c.table.Sync(c.now, &rpc.SyncRequest{Releases: []*rpc.Release{{
			Upstream: s.engine.name, Id: s.id, Fencing: 2, Ok: s.boot == s.engine.boot, ConnectionLost: s.boot != s.engine.boot,
			FirstTokenMs: uint32(s.ttft.Milliseconds()),
			PromptTokens: uint32(s.promptTokens), CachedTokens: uint32(s.hitTokens),
		}}})
		return true
	})
	for _, e := range c.engines {
		if !e.up && !c.now.Before(e.upAt) {
			e.up = true
			c.table.SetListedState(c.now, Upstream{ID: e.name})
			c.table.ApplyLoadReport(c.now, e.name, LoadReport{BootID: fmt.Sprint(e.boot), State: "warm"})
		}
	}
	if elapsed%(500*time.Millisecond) == 0 {
		c.totals = append(c.totals, digestSample{time: c.now, load: len(c.running)})
		c.totals = slices.DeleteFunc(c.totals, func(p digestSample) bool { return c.now.Sub(p.time) > digestWindow })
		c.table.Digests(c.now)
		c.table.Tick(c.now)
	}
	if elapsed%(3*time.Second) == 0 {
		for _, e := range c.engines {
			c.listed[e.name] = e.up
		}
	}
	if elapsed%time.Second == 0 {
		c.renewGrants()
	}
}

func (c *churn) renewGrants() {
	var renewals []*rpc.Grant
	for _, s := range c.running {
		renewals = append(renewals, &rpc.Grant{Upstream: s.engine.name, Id: s.id, Fencing: 2})
	}
	c.table.Sync(c.now, &rpc.SyncRequest{Renewals: renewals})
}

// request serves one turn of a chat and counts the cached tokens of returning
// chats.
func (c *churn) request(events *rand.Rand, chat uint64) {
	before := c.tokens[chat]
	prompt := before + 200 + events.IntN(600)
	output := 100 + events.IntN(400)
	duration := time.Duration(events.ExpFloat64() * float64(meanDecodeDuration))
	e, id := c.placement(c, chat)
	if e == nil {
		c.refused++
		return
	}
	hit := min(e.cachedTokens(chat), prompt)
	if before > 0 {
		c.hitTokens, c.promptTokens = c.hitTokens+hit, c.promptTokens+prompt
	}
	ttft := baseTTFT + time.Duration(prompt-hit)*prefillPerToken
	e.load++
	c.running = append(c.running, churnRequest{e, e.boot, c.now.Add(ttft + duration), id, ttft, prompt, hit})
	_, up := c.PoolLoad(c.now, "")
	c.maxSkew = max(c.maxSkew, float64(e.load)/max(float64(len(c.running))/float64(up), float64(c.env.loadFloor)))
	c.tokens[chat] = min(prompt+output, 8000)
	e.cachePrompt(chat, c.tokens[chat])
}

// runChurn simulates churnDuration. Requests and engine events have their own
// random source, so that all policies see the same ones.
func runChurn(policy placementFunc, seed uint64) *churn {
	c := newChurn(policy, seed)
	events := rand.New(rand.NewPCG(seed, 1))
	start := c.now
	next, nextDown := start, start.Add(2*time.Minute)
	workspaces := rand.NewZipf(events, 1.3, 1, 9)
	for c.now.Sub(start) < churnDuration {
		c.step(start)
		if !c.now.Before(nextDown) {
			// One in three stops for minutes, the others for seconds.
			d := time.Duration(2+events.IntN(6)) * time.Second
			if events.IntN(3) == 0 {
				d = time.Duration(2+events.IntN(5)) * time.Minute
			}
			if e := c.engines[events.IntN(churnEngines)]; e.up {
				c.stopEngine(e, d)
			}
			nextDown = nextDown.Add(time.Duration(60+events.IntN(120)) * time.Second)
		}
		for !c.now.Before(next) {
			workspace, rate := workspaces.Uint64(), arrivalRate
			if at := c.now.Sub(start); at >= spikeStart && at < spikeEnd {
				rate *= spikeFactor
				workspace *= uint64(events.IntN(2)) // half of the spike comes from the largest workspace
			}
			member := events.Uint64N(churnChats / 10)
			c.request(events, rendezvous.ChatKey(fmt.Sprint(workspace), "model", fmt.Sprint(member)))
			next = next.Add(time.Duration(events.ExpFloat64() / rate * float64(time.Second)))
		}
	}
	return c
}

// TestOwnersReuseMoreThanRendezvous guards against a placement table that
// reuses less cache than plain rendezvous hashing within the same bound.
func TestOwnersReuseMoreThanRendezvous(t *testing.T) {
	byOwners, byRendezvous := runChurn(placeByOwners, 1), runChurn(placeByRendezvous, 1)
	t.Logf("cached tokens over prompt tokens: owners %.3f, rendezvous %.3f", byOwners.cacheHitRatio(), byRendezvous.cacheHitRatio())
	if byOwners.cacheHitRatio() <= byRendezvous.cacheHitRatio() {
		t.Error("the placement table does not increase the cached share")
	}
}

func (c *churn) cacheHitRatio() float64 { return float64(c.hitTokens) / float64(c.promptTokens) }

// BenchmarkReuse measures cached tokens over prompt tokens of returning chats,
// and the largest load over the larger of mean and floor, while engines stop
// and return.
func BenchmarkReuse(b *testing.B) {
	for _, p := range placementPolicies {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("%s/seed=%d", p.name, seed), func(b *testing.B) {
				for range b.N {
					c := runChurn(p.placement, seed)
					b.ReportMetric(c.cacheHitRatio(), "hit/prompt")
					b.ReportMetric(c.maxSkew, "load/mean")
					b.ReportMetric(float64(c.refused), "refused")
				}
			})
		}
	}
}
