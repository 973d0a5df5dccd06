package load

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
)

var errNoAddress = errors.New("no address to send to")

// maxWait bounds the wait that a refusal asks for, so that a run goes on.
const maxWait = 2 * time.Second

// Options are the bounds and the mix of a run.
type Options struct {
	Addresses   []string          // routers
	Ready       []string          // their readiness URLs in the same order; none to send to all routers at all times
	Keys        map[string]string // bearer keys by workspace
	Model       string
	Count       int           // most requests
	Duration    time.Duration // most time
	Timeout     time.Duration // of one request
	Workers     int           // requests at once
	Chats       int           // conversations per workspace
	Turns       int           // of a conversation, after which a new one takes its place
	BriefWords  int           // words of the first message
	TurnWords   int           // words of each further message
	AnswerWords int           // words of each answer, 0 for the engine's choice
	Think       time.Duration // between the requests of a worker
	Seed        uint64
	Skew        float64 // exponent of the workspaces' shares: 0 for equal ones
	Surge       string  // workspace of the surge, "" for none
	SurgeAt     time.Duration
	SurgeFor    time.Duration
	SurgeWorker int // further requests at once during the surge

	Mode     string          // ModeRouters or a naive routing
	Failover bool            // tries another router if one refuses the connection
	Hosts    string          // URL of the host list, for the naive routings
	Engines  []string        // base URLs of engines whose load is sampled for the skew
	Marks    []time.Duration // since the start, ascending; each begins a further phase of the summary
}

// Defaults returns the options of a short run.
func Defaults() Options {
	return Options{
		Model: "draft-8b", Count: 200, Duration: 30 * time.Second, Timeout: time.Minute, Workers: 8,
		Chats: 16, Turns: 6, BriefWords: 300, TurnWords: 20, Seed: 1, Skew: 1,
		SurgeAt: 5 * time.Second, SurgeFor: 5 * time.Second, SurgeWorker: 8, Mode: ModeRouters,
	}
}

// conversation grows by a turn for each right answer.
type conversation struct {
	id       string
	messages []engine.Message
	busy     bool
}

type generator struct {
	options    Options
	client     *http.Client
	workspaces []string // in order of share
	shares     []float64
	route      router
	start      time.Time

	mu     sync.Mutex
	random *rand.Rand
	chats  map[string][]*conversation
	made   int
	sent   int
	result *Result
}

func (o Options) check() error {
	switch {
	case len(o.Keys) == 0:
		return errors.New("load: a key is needed")
	case o.Count <= 0 || o.Duration <= 0 || o.Workers <= 0:
		return errors.New("load: count, duration and workers must be positive")
	case len(o.Ready) > 0 && len(o.Ready) != len(o.Addresses):
		return errors.New("load: each address needs its readiness URL")
	case !slices.IsSorted(o.Marks):
		return errors.New("load: marks must be ascending")
	}
	return nil
}

// Run sends chats until a bound is reached or ctx ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = 0, o.Workers+o.SurgeWorker
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	g := &generator{
		options: o, client: &http.Client{Transport: transport}, workspaces: slices.Sorted(maps.Keys(o.Keys)),
		random: rand.New(rand.NewPCG(o.Seed, 0)), chats: map[string][]*conversation{},
		result: newResult(len(o.Marks)),
	}
	for i := range g.workspaces {
		g.shares = append(g.shares, math.Pow(float64(i+1), -o.Skew))
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	var err error
	if g.route, err = newRouter(ctx, &background, o); err != nil {
		return nil, err
	}
	g.start = time.Now()
	if len(o.Engines) > 0 {
		background.Go(func() { g.sampleSkew(ctx) })
	}
	var workers sync.WaitGroup
	for range o.Workers {
		workers.Go(func() { g.work(ctx, "") })
	}
	if o.Surge != "" {
		for range o.SurgeWorker {
			workers.Go(func() { g.surge(ctx) })
		}
	}
	workers.Wait()
	cancel()
	background.Wait()
	g.result.counts["sent"] = int64(g.sent)
	g.result.end(time.Since(g.start), o.Marks)
	return g.result, nil
}

func (g *generator) surge(ctx context.Context) {
	if !clock.Sleep(ctx, g.options.SurgeAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.SurgeFor)
	defer cancel()
	g.work(ctx, g.options.Surge)
}

// work sends chats one after the other; a request under way at the end of ctx
// is finished within the timeout of a request.
func (g *generator) work(ctx context.Context, workspace string) {
	for ctx.Err() == nil {
		name, c, addresses, ok := g.next(workspace)
		if !ok {
			return
		}
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.options.Timeout)
		reply, err := g.send(call, addresses, Chat{
			Key: g.options.Keys[name], ID: c.id, Model: g.options.Model, Messages: c.messages, Stream: true,
		})
		cancel()
		g.note(c, reply, err)
		wait := g.options.Think
		if reply.Status != http.StatusOK {
			wait = max(wait, min(reply.RetryAfter, maxWait))
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// send tries the addresses in order while the route allows another try.
func (g *generator) send(ctx context.Context, addresses []string, chat Chat) (reply Reply, err error) {
	err = errNoAddress
	for _, chat.Address = range addresses {
		if reply, err = Send(ctx, g.client, chat); !g.route.again(reply, err) {
			break
		}
	}
	return reply, err
}

// next picks a workspace, one of its idle conversations and the addresses to
// send it to.
func (g *generator) next(workspace string) (name string, c *conversation, addresses []string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent >= g.options.Count {
		return "", nil, nil, false
	}
	g.sent++
	if name = workspace; name == "" {
		name = g.pick()
	}
	var idle []*conversation
	for _, c := range g.chats[name] {
		if !c.busy {
			idle = append(idle, c)
		}
	}
	if len(g.chats[name]) < g.options.Chats || len(idle) == 0 {
		c = &conversation{}
		g.renew(c, name)
		g.chats[name] = append(g.chats[name], c)
	} else {
		c = idle[g.random.IntN(len(idle))]
		// Each turn is a question and its answer, after the brief.
		if len(c.messages) > 2*g.options.Turns {
			g.renew(c, name)
		}
	}
	c.busy = true
	return name, c, g.route.addresses(g.random, place.ChatKey(name, g.options.Model, c.id)), true
}

func (g *generator) pick() string {
	total := 0.0
	for _, share := range g.shares {
		total += share
	}
	at := g.random.Float64() * total
	for i, share := range g.shares {
		if at -= share; at < 0 {
			return g.workspaces[i]
		}
	}
	return g.workspaces[len(g.workspaces)-1]
}

// renew starts a conversation afresh; the caller holds the lock.
func (g *generator) renew(c *conversation, workspace string) {
	g.made++
	c.id = fmt.Sprintf("%s-%d-%d", workspace, g.options.Seed, g.made)
	c.messages = []engine.Message{
		{Role: "system", Content: "Brief of " + c.id + ":" + g.text(g.options.BriefWords)},
		{Role: "user", Content: "Begin:" + g.question()},
	}
}

// question returns the question of one turn.
func (g *generator) question() string {
	text := g.text(g.options.TurnWords)
	if g.options.AnswerWords > 0 {
		text += engine.Asking(g.options.AnswerWords)
	}
	return text
}

func (g *generator) text(words int) string {
	var b strings.Builder
	for range words {
		fmt.Fprintf(&b, " w%d", g.random.IntN(1000))
	}
	return b.String()
}

// note counts a reply and, if it is right, lets the conversation grow.
func (g *generator) note(c *conversation, r Reply, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.busy = false
	kind := "complete"
	switch {
	case err != nil:
		kind = "no_response"
	case r.Status != http.StatusOK:
		kind = fmt.Sprintf("refused_%d_%s", r.Status, r.Executed)
	case r.Complete && !r.Right(c.messages):
		kind = "wrong"
	case !r.Complete && r.Stated:
		kind = "cut_stated"
	case !r.Complete && r.Broken:
		kind = "cut_broken"
	case !r.Complete:
		kind = "cut_unstated"
	}
	best := 0
	if len(c.messages) > 2 {
		// All but the new question went through an engine before.
		best = engine.Tokens(c.messages[:len(c.messages)-1])
	}
	g.result.add(g.phase(), kind, r, best)
	if err == nil && r.Executed == verdict.NotRun.String() {
		g.result.refused = append(g.result.refused, r.RequestID)
	}
	if kind != "complete" {
		return
	}
	c.messages = append(slices.Clip(c.messages),
		engine.Message{Role: "assistant", Content: r.Text},
		engine.Message{Role: "user", Content: "Next:" + g.question()})
}

// phase returns how many marks have passed.
func (g *generator) phase() int {
	elapsed, n := time.Since(g.start), 0
	for n < len(g.options.Marks) && elapsed >= g.options.Marks[n] {
		n++
	}
	return n
}
