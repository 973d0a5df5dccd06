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

// maxRetryDelay bounds the wait that a refusal asks for, so that a run goes on.
const maxRetryDelay = 2 * time.Second

// Options are the bounds and the mix of a run.
type Options struct {
	RouterAddresses   []string          // routers
	ReadinessURLs     []string          // their readiness URLs in the same order; none to send to all routers at all times
	APIKeys           map[string]string // bearer keys by workspace
	Model             string
	MaxRequests       int           // most requests
	MaxDuration       time.Duration // most time
	RequestTimeout    time.Duration // of one request
	Workers           int           // requests at once
	ChatsPerWorkspace int           // conversations per workspace
	TurnsPerChat      int           // of a conversation, after which a new one takes its place
	SystemWords       int           // words of the first message
	UserWords         int           // words of each further message
	CompletionWords   int           // words of each answer, 0 for the engine's choice
	ThinkTime         time.Duration // between the requests of a worker
	Seed              uint64
	WorkspaceSkew     float64 // exponent of the workspaces' shares: 0 for equal ones
	SurgeWorkspace    string  // workspace of the surge, "" for none
	SurgeStart        time.Duration
	SurgeDuration     time.Duration
	SurgeWorkers      int // further requests at once during the surge

	Mode        string          // ModeRouters or a naive routing
	Failover    bool            // tries another router if one refuses the connection
	HostListURL string          // URL of the host list, for the naive routings
	EngineURLs  []string        // base URLs of engines whose load is sampled for the skew
	PhaseStarts []time.Duration // since the start, ascending; each begins a further phase of the summary
}

// Defaults returns the options of a short run.
func Defaults() Options {
	return Options{
		Model: "draft-8b", MaxRequests: 200, MaxDuration: 30 * time.Second, RequestTimeout: time.Minute, Workers: 8,
		ChatsPerWorkspace: 16, TurnsPerChat: 6, SystemWords: 300, UserWords: 20, Seed: 1, WorkspaceSkew: 1,
		SurgeStart: 5 * time.Second, SurgeDuration: 5 * time.Second, SurgeWorkers: 8, Mode: ModeRouters,
	}
}

// conversation grows by a turn for each right answer.
type conversation struct {
	id       string
	messages []engine.Message
	busy     bool
}

type generator struct {
	options          Options
	client           *http.Client
	workspaces       []string // in order of share
	workspaceWeights []float64
	routing          routing
	start            time.Time

	mu            sync.Mutex
	random        *rand.Rand
	conversations map[string][]*conversation
	chatsCreated  int
	requestsSent  int
	result        *Result
}

func (o Options) validate() error {
	switch {
	case len(o.APIKeys) == 0:
		return errors.New("load: a key is needed")
	case o.MaxRequests <= 0 || o.MaxDuration <= 0 || o.Workers <= 0:
		return errors.New("load: count, duration and workers must be positive")
	case len(o.ReadinessURLs) > 0 && len(o.ReadinessURLs) != len(o.RouterAddresses):
		return errors.New("load: each address needs its readiness URL")
	case !slices.IsSorted(o.PhaseStarts):
		return errors.New("load: marks must be ascending")
	}
	return nil
}

// Run sends chats until a bound is reached or ctx ends.
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
		random: rand.New(rand.NewPCG(o.Seed, 0)), conversations: map[string][]*conversation{},
		result: newResult(len(o.PhaseStarts)),
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

// runWorker sends chats one after the other; a request under way at the end of ctx
// is finished within the timeout of a request.
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

// sendWithFailover tries the addresses in order while the route allows another try.
func (g *generator) sendWithFailover(ctx context.Context, addresses []string, chat ChatRequest) (response ChatResponse, err error) {
	err = errNoAddress
	for _, chat.Address = range addresses {
		if response, err = SendChat(ctx, g.client, chat); !g.routing.mayRetry(response, err) {
			break
		}
	}
	return response, err
}

// nextRequest picks a workspace, one of its idle conversations and the addresses to
// send it to.
func (g *generator) nextRequest(workspace string) (chosen string, c *conversation, addresses []string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requestsSent >= g.options.MaxRequests {
		return "", nil, nil, false
	}
	g.requestsSent++
	if chosen = workspace; chosen == "" {
		chosen = g.pickWorkspace()
	}
	var idle []*conversation
	for _, c := range g.conversations[chosen] {
		if !c.busy {
			idle = append(idle, c)
		}
	}
	if len(g.conversations[chosen]) < g.options.ChatsPerWorkspace || len(idle) == 0 {
		c = &conversation{}
		g.resetConversation(c, chosen)
		g.conversations[chosen] = append(g.conversations[chosen], c)
	} else {
		c = idle[g.random.IntN(len(idle))]
		// Each turn is a question and its answer, after the brief.
		if len(c.messages) > 2*g.options.TurnsPerChat {
			g.resetConversation(c, chosen)
		}
	}
	c.busy = true
	return chosen, c, g.routing.candidates(g.random, place.ChatKey(chosen, g.options.Model, c.id)), true
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

// resetConversation starts a conversation afresh; the caller holds the lock.
func (g *generator) resetConversation(c *conversation, workspace string) {
	g.chatsCreated++
	c.id = fmt.Sprintf("%s-%d-%d", workspace, g.options.Seed, g.chatsCreated)
	c.messages = []engine.Message{
		{Role: "system", Content: "Brief of " + c.id + ":" + g.randomText(g.options.SystemWords)},
		{Role: "user", Content: "Begin:" + g.userMessage()},
	}
}

// userMessage returns the question of one turn.
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

// recordResponse counts a reply and, if it is right, lets the conversation grow.
func (g *generator) recordResponse(c *conversation, r ChatResponse, err error) {
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
		// All but the new question went through an engine before.
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

// currentPhase returns how many marks have passed.
func (g *generator) currentPhase() int {
	elapsed, n := time.Since(g.start), 0
	for n < len(g.options.PhaseStarts) && elapsed >= g.options.PhaseStarts[n] {
		n++
	}
	return n
}
