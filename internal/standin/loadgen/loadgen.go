package loadgen

import (
	"cmp"
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
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
)

var errNoAddress = errors.New("no candidate address")

// maxRetryDelay bounds the Retry-After delay that a worker obeys, so that a run
// makes progress.
const maxRetryDelay = 2 * time.Second

// Options configure a run: its bounds, its mix of chats and its routing.
type Options struct {
	RouterAddresses   []string          // host:port each
	ReadinessURLs     []string          // of the routers, in the same order; if empty, all routers count as ready
	APIKeys           map[string]string // bearer tokens by workspace
	Model             string
	MaxRequests       int
	MaxDuration       time.Duration
	RequestTimeout    time.Duration
	Workers           int           // number of concurrent requests
	ChatsPerWorkspace int           // chats to alternate between; more are started if all are busy
	TurnsPerChat      int           // turns before a new chat replaces one
	SystemWords       int           // words of the system message
	UserWords         int           // words of each user message
	CompletionWords   int           // words of each completion, 0 for the engine's default
	ThinkTime         time.Duration // pause between the requests of a worker
	Seed              uint64
	WorkspaceSkew     float64 // Zipf exponent of the workspaces' shares of the requests, 0 for equal shares
	SurgeWorkspace    string  // workspace of the surge in load, "" for none
	SurgeStart        time.Duration
	SurgeDuration     time.Duration
	SurgeWorkers      int // additional concurrent requests during the surge

	Mode        string          // one of the Mode constants
	Failover    bool            // try another router if one refuses the connection
	HostListURL string          // for the naive routings
	EngineURLs  []string        // base URLs of engines whose load is sampled for the load skew
	PhaseStarts []time.Duration // times since the start in ascending order at which further phases of the summary begin
	OpenStreams *OpenStreams    // counts the streams in progress, if set
}

// Defaults returns the options of a short run.
func Defaults() Options {
	return Options{
		Model: "draft-8b", MaxRequests: 200, MaxDuration: 30 * time.Second, RequestTimeout: time.Minute, Workers: 8,
		ChatsPerWorkspace: 16, TurnsPerChat: 6, SystemWords: 300, UserWords: 20, Seed: 1, WorkspaceSkew: 1,
		SurgeStart: 5 * time.Second, SurgeDuration: 5 * time.Second, SurgeWorkers: 8, Mode: ModeRouters,
	}
}

// chatState is one chat. It grows by a turn with each correct completion.
type chatState struct {
	id       string
	messages []engine.Message
	busy     bool
}

type generator struct {
	options          Options
	client           *http.Client
	workspaces       []string // by descending share
	workspaceWeights []float64
	routing          routing
	openStreams      *OpenStreams
	start            time.Time

	mu            sync.Mutex
	random        *rand.Rand
	conversations map[string][]*chatState
	chatsCreated  int
	requestsSent  int
	result        *Result
}

func (o Options) validate() error {
	switch {
	case len(o.APIKeys) == 0:
		return errors.New("load: no API key is given")
	case o.MaxRequests <= 0 || o.MaxDuration <= 0 || o.Workers <= 0:
		return errors.New("load: count, duration and workers must be positive")
	case len(o.ReadinessURLs) > 0 && len(o.ReadinessURLs) != len(o.RouterAddresses):
		return errors.New("load: the number of readiness URLs differs from that of addresses")
	case !slices.IsSorted(o.PhaseStarts):
		return errors.New("load: the times of --mark must be ascending")
	}
	return nil
}

// Run sends chat requests until MaxRequests or MaxDuration is reached or ctx ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = 0, o.Workers+o.SurgeWorkers
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, o.MaxDuration)
	defer cancel()
	g := &generator{
		options: o, client: &http.Client{Transport: transport}, workspaces: slices.Sorted(maps.Keys(o.APIKeys)),
		random: rand.New(rand.NewPCG(o.Seed, 0)), conversations: map[string][]*chatState{},
		result: newResult(len(o.PhaseStarts)), openStreams: cmp.Or(o.OpenStreams, NewOpenStreams()),
	}
	for i := range g.workspaces {
		g.workspaceWeights = append(g.workspaceWeights, math.Pow(float64(i+1), -o.WorkspaceSkew))
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	var err error
	if g.routing, err = newRouting(ctx, &background, o); err != nil {
		return nil, err
	}
	g.start = time.Now()
	if len(o.EngineURLs) > 0 {
		background.Go(func() { g.sampleSkew(ctx) })
	}
	var workers sync.WaitGroup
	for range o.Workers {
		workers.Go(func() { g.runWorker(ctx, "") })
	}
	if o.SurgeWorkspace != "" {
		for range o.SurgeWorkers {
			workers.Go(func() { g.runSurgeWorker(ctx) })
		}
	}
	workers.Wait()
	cancel()
	background.Wait()
	g.result.counts["sent"] = int64(g.requestsSent)
	g.result.setElapsed(time.Since(g.start), o.PhaseStarts)
	return g.result, nil
}

func (g *generator) runSurgeWorker(ctx context.Context) {
	if !clock.Sleep(ctx, g.options.SurgeStart) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.SurgeDuration)
	defer cancel()
	g.runWorker(ctx, g.options.SurgeWorkspace)
}

// runWorker sends requests one after the other until ctx ends or MaxRequests is
// reached. A request in flight at the end of ctx has RequestTimeout to finish. An
// empty workspace means one chosen at random for each request.
func (g *generator) runWorker(ctx context.Context, workspace string) {
	for ctx.Err() == nil {
		name, c, addresses, ok := g.nextRequest(workspace)
		if !ok {
			return
		}
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.options.RequestTimeout)
		response, err := g.sendWithFailover(requestCtx, addresses, ChatRequest{
			APIKey: g.options.APIKeys[name], ChatID: c.id, Model: g.options.Model, Messages: c.messages, Stream: true,
		})
		cancel()
		g.recordResponse(c, response, err)
		delay := g.options.ThinkTime
		if response.Status != http.StatusOK {
			delay = max(delay, min(response.RetryAfter, maxRetryDelay))
		}
		if !clock.Sleep(ctx, delay) {
			return
		}
	}
}

// sendWithFailover tries the addresses in order while the routing allows a retry.
func (g *generator) sendWithFailover(ctx context.Context, addresses []string, chat ChatRequest) (response ChatResponse, err error) {
	err = errNoAddress
	for _, chat.Address = range addresses {
		if response, err = g.sendCounted(ctx, chat); !g.routing.mayRetry(response, err) {
			break
		}
	}
	return response, err
}

// sendCounted sends a chat request and counts its stream while it is in progress.
func (g *generator) sendCounted(ctx context.Context, chat ChatRequest) (ChatResponse, error) {
	streams := 0
	chat.OnStream = func() {
		streams = 1
		g.openStreams.add(chat.Address, streams)
	}
	defer func() { g.openStreams.add(chat.Address, -streams) }()
	return SendChat(ctx, g.client, chat)
}

// nextRequest chooses a workspace, one of its idle chats and the addresses to
// try. It returns false once MaxRequests is reached.
func (g *generator) nextRequest(workspace string) (chosen string, c *chatState, addresses []string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requestsSent >= g.options.MaxRequests {
		return "", nil, nil, false
	}
	g.requestsSent++
	if chosen = workspace; chosen == "" {
		chosen = g.pickWorkspace()
	}
	var idle []*chatState
	for _, c := range g.conversations[chosen] {
		if !c.busy {
			idle = append(idle, c)
		}
	}
	if len(g.conversations[chosen]) < g.options.ChatsPerWorkspace || len(idle) == 0 {
		c = &chatState{}
		g.resetChat(c, chosen)
		g.conversations[chosen] = append(g.conversations[chosen], c)
	} else {
		c = idle[g.random.IntN(len(idle))]
		// The system message precedes two messages per turn.
		if len(c.messages) > 2*g.options.TurnsPerChat {
			g.resetChat(c, chosen)
		}
	}
	c.busy = true
	return chosen, c, g.routing.candidates(g.random, rendezvous.ChatKey(chosen, g.options.Model, c.id)), true
}

func (g *generator) pickWorkspace() string {
	total := 0.0
	for _, weight := range g.workspaceWeights {
		total += weight
	}
	point := g.random.Float64() * total
	for i, weight := range g.workspaceWeights {
		if point -= weight; point < 0 {
			return g.workspaces[i]
		}
	}
	return g.workspaces[len(g.workspaces)-1]
}

// resetChat replaces a chat by a new one. The caller holds g.mu.
func (g *generator) resetChat(c *chatState, workspace string) {
	g.chatsCreated++
	c.id = fmt.Sprintf("%s-%d-%d", workspace, g.options.Seed, g.chatsCreated)
	c.messages = []engine.Message{
		{Role: "system", Content: "Brief of " + c.id + ":" + g.randomText(g.options.SystemWords)},
		{Role: "user", Content: "Begin:" + g.userMessage()},
	}
}

// userMessage returns the random text of a user message, with a request for the
// length of the completion if CompletionWords is set.
func (g *generator) userMessage() string {
	text := g.randomText(g.options.UserWords)
	if g.options.CompletionWords > 0 {
		text += engine.LengthRequest(g.options.CompletionWords)
	}
	return text
}

func (g *generator) randomText(words int) string {
	var b strings.Builder
	for range words {
		fmt.Fprintf(&b, " w%d", g.random.IntN(1000))
	}
	return b.String()
}

// recordResponse counts a response and, if it is correct, adds the next turn to
// the chat.
func (g *generator) recordResponse(c *chatState, r ChatResponse, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.busy = false
	outcome := "complete"
	switch {
	case err != nil:
		outcome = "no_response"
	case r.Status != http.StatusOK:
		outcome = fmt.Sprintf("refused_%d_%s", r.Status, r.Executed)
	case r.Complete && !r.Correct(c.messages):
		outcome = "wrong"
	case !r.Complete && r.ErrorEvent:
		outcome = "cut_stated"
	case !r.Complete && r.Truncated:
		outcome = "cut_broken"
	case !r.Complete:
		outcome = "cut_unstated"
	}
	reusableTokens := 0
	if len(c.messages) > 2 {
		// An engine has processed all messages but the last one before.
		reusableTokens = engine.CountTokens(c.messages[:len(c.messages)-1])
	}
	g.result.addResponse(g.currentPhase(), outcome, r, reusableTokens)
	if err == nil && r.Executed == verdict.NotRun.String() {
		g.result.refusedIDs = append(g.result.refusedIDs, r.RequestID)
	}
	if outcome != "complete" {
		return
	}
	c.messages = append(slices.Clip(c.messages),
		engine.Message{Role: "assistant", Content: r.Text},
		engine.Message{Role: "user", Content: "Next:" + g.userMessage()})
}

// currentPhase returns the index of the phase that the current time falls in.
func (g *generator) currentPhase() int {
	elapsed, n := time.Since(g.start), 0
	for n < len(g.options.PhaseStarts) && elapsed >= g.options.PhaseStarts[n] {
		n++
	}
	return n
}
