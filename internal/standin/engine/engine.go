package engine

import (
	"cmp"
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Options are the properties of an engine; New replaces zero values of fields
// that need one by those of Defaults.
type Options struct {
	Model           string
	CacheTokens     int           // size of the prefix cache in tokens
	ColdLimit       int           // most requests while cold
	WarmAfter       int           // completions until warm
	ColdFactor      float64       // slowdown of the prefill while cold
	MaxBatch        int           // requests that run at once; others wait
	PrefillPerToken time.Duration // per uncached prompt token
	BetweenTokens   time.Duration // with one request running
	BatchFactor     float64       // growth of the time between tokens per further request
	LoadLag         time.Duration // age of load reports
	EventLag        time.Duration // age at which cache events appear
	EventGap        int           // every so many cache events one is lost, 0 for none
	Keep            time.Duration // for resume after a lost connection, negative to cancel at once
	Heartbeat       time.Duration // between comments on a quiet stream
	ChecksFencing   bool          // rejects orders with a stale fencing token
	Weights         string        // base URL of the weight store, "" to load without it
}

// Defaults returns the options of a small engine.
func Defaults() Options {
	return Options{
		Model: "draft-8b", CacheTokens: 200_000, ColdLimit: 2, WarmAfter: 8, ColdFactor: 3, MaxBatch: 32,
		PrefillPerToken: 100 * time.Microsecond, BetweenTokens: 4 * time.Millisecond, BatchFactor: 0.02,
		LoadLag: 300 * time.Millisecond, EventLag: 500 * time.Millisecond, EventGap: 17,
		Keep: 30 * time.Second, Heartbeat: 2 * time.Second,
	}
}

// withDefaults sets the fields without which an engine cannot run.
func (o Options) withDefaults() Options {
	d := Defaults()
	o.Model = cmp.Or(o.Model, d.Model)
	o.CacheTokens = cmp.Or(o.CacheTokens, d.CacheTokens)
	o.ColdLimit = cmp.Or(o.ColdLimit, d.ColdLimit)
	o.WarmAfter = cmp.Or(o.WarmAfter, d.WarmAfter)
	o.ColdFactor = cmp.Or(o.ColdFactor, d.ColdFactor)
	o.MaxBatch = cmp.Or(o.MaxBatch, d.MaxBatch)
	o.Keep = cmp.Or(o.Keep, d.Keep)
	o.Heartbeat = cmp.Or(o.Heartbeat, d.Heartbeat)
	return o
}

// Faults are the faults in force; POST /faults changes the fields it names.
type Faults struct {
	Cold         bool `json:"cold"`          // once: new boot id, empty cache and cold, connections stay
	CutAfter     int  `json:"cut_after"`     // closes a stream after so many chunks
	SilentAfter  int  `json:"silent_after"`  // a stream goes silent after so many chunks
	Streams      int  `json:"streams"`       // streams to which the two above apply, 0 for all
	Duplicate    bool `json:"duplicate"`     // sends each chunk twice
	Reorder      bool `json:"reorder"`       // swaps neighbouring chunks
	StaleAttempt bool `json:"stale_attempt"` // adds chunks of another attempt
	Refuse       bool `json:"refuse"`        // 503 with Hemlock-Executed: no
	Leaving      bool `json:"leaving"`       // reports state leaving
	HoldOrder    bool `json:"hold_order"`    // takes one order, the next, up only when this is off again
}

// Execution is one entry of the execution log.
type Execution struct {
	RequestID string    `json:"request_id"`
	Attempt   string    `json:"attempt"`
	Chat      string    `json:"chat"`
	Started   time.Time `json:"started"`
	Finished  time.Time `json:"finished,omitzero"`
	Outcome   string    `json:"outcome"` // running, complete, cancelled, superseded or overload
	Resumes   int       `json:"resumes,omitempty"`
}

// OrderEntry is one entry of the log of orders, made when the order arrives.
type OrderEntry struct {
	Fencing uint64    `json:"fencing"`
	Order   Order     `json:"order"`
	Arrived time.Time `json:"arrived"`
	Taken   time.Time `json:"taken,omitzero"` // when it was accepted or refused
	Outcome string    `json:"outcome"`        // held, accepted, stale or busy
	Loads   bool      `json:"loads,omitempty"`
}

// Stats are exact counts since the start. Load is running and waiting requests.
type Stats struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	PeakRunning  int   `json:"peak_running"`
	PeakLoad     int   `json:"peak_load"`
	PeakColdLoad int   `json:"peak_cold_load"` // largest load at an admission while cold
	Started      int   `json:"started"`
	Completed    int   `json:"completed"`
	Cancelled    int   `json:"cancelled"`
	Overloads    int   `json:"overloads"`
	Refused      int   `json:"refused"`
	Resumed      int   `json:"resumed"`
	Boots        int   `json:"boots"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	Orders       int   `json:"orders"`       // that changed the state
	StaleOrders  int   `json:"stale_orders"` // with a stale token, whether accepted or not
	Cold         bool  `json:"cold"`
}

// loadReport is the answer of /v1/load.
type loadReport struct {
	Boot        string    `json:"boot_id"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	CacheTokens int       `json:"cache_tokens"`
	State       string    `json:"state"`
	Model       string    `json:"model"`
	Time        time.Time `json:"time"`
}

// Server is an engine as an http.Handler.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu         sync.Mutex
	faults     Faults
	boot       string
	coldLeft   int // completions until warm, 0 when warm
	cache      *cache
	runs       map[string]*run // by request id: unfinished or kept for resume
	queue      []*run          // waiting, the next one first
	executions []*Execution
	stats      Stats
	reports    []loadReport // one for each change, the oldest is LoadLag old
	state      Order
	fencing    uint64
	loading    bool
	orders     []*OrderEntry
	release    chan struct{} // closed when the held order may go on, nil if none is held
}

// New returns a cold engine with an empty cache.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{options: o, cache: newCache(o.CacheTokens), runs: map[string]*run{}, state: Order{Model: o.Model, Role: "generate"}}
	s.chill()
	s.report(time.Now())
	s.mux = s.routes()
	return s
}

// ServeHTTP answers the engine's paths, /executions, /orders, /stats and /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Engine-Boot", s.boot)
	s.mu.Unlock()
	s.mux.ServeHTTP(w, r)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Cold = s.coldLeft > 0
	return stats
}

// Executions returns a copy of the execution log.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := make([]Execution, 0, len(s.executions))
	for _, e := range s.executions {
		log = append(log, *e)
	}
	return log
}

// Orders returns a copy of the log of orders.
func (s *Server) Orders() []OrderEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := make([]OrderEntry, 0, len(s.orders))
	for _, e := range s.orders {
		log = append(log, *e)
	}
	return log
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force; Cold takes effect once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Cold {
		s.chill()
	}
	if !f.HoldOrder && s.release != nil {
		close(s.release)
		s.release = nil
	}
	f.Cold = false
	s.faults = f
	s.report(time.Now())
}

// chill makes the engine cold under a new boot id; the caller holds the lock.
func (s *Server) chill() {
	s.boot = rand.Text()
	s.coldLeft = s.options.WarmAfter
	s.cache.clear()
	s.stats.Boots++
}

// report adds a load report and drops those that are older than the one that
// a reader sees; the caller holds the lock.
func (s *Server) report(now time.Time) {
	state := "warm"
	switch {
	case s.faults.Leaving:
		state = "leaving"
	case s.coldLeft > 0:
		state = "cold"
	}
	s.reports = append(s.reports, loadReport{
		Boot: s.boot, Running: s.stats.Running, Waiting: s.stats.Waiting,
		CacheTokens: s.cache.tokens, State: state, Model: s.state.Model, Time: now,
	})
	s.visible(now)
}

// visible returns the newest report that is at least LoadLag old, or the first.
func (s *Server) visible(now time.Time) loadReport {
	next := slices.IndexFunc(s.reports, func(l loadReport) bool { return now.Sub(l.Time) < s.options.LoadLag })
	if next < 0 {
		next = len(s.reports)
	}
	s.reports = s.reports[max(0, next-1):]
	report := s.reports[0]
	// An idle engine goes on reporting, so the time is that of the reading.
	if next > 0 {
		report.Time = now.Add(-s.options.LoadLag)
	}
	return report
}

// run is one execution. It goes on when its connection is lost.
type run struct {
	id, attempt string
	chat        uint64
	hasChat     bool
	priority    int
	messages    []Message
	prefixes    []prefix
	execution   *Execution
	ctx         context.Context
	cancel      context.CancelFunc
	admitted    chan struct{} // closed when the run leaves the queue

	// The engine's lock protects the rest.
	running   bool
	chunks    []chunk
	finished  bool
	cancelled bool
	prompt    int
	cached    int
	readers   int
	forget    *time.Timer
	changed   chan struct{} // closed and replaced at each new chunk
}

func (u *run) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// priorities are the classes that Request-Priority may name; a number is
// taken as it is. Lower runs first.
var priorities = map[string]int{"interactive": 0, "": 1, "standard": 1, "batch": 2}

func parsePriority(text string) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return priorities[text]
}

// chatNumber returns the number in a Hemlock-Chat header, or its hash if it
// is not a decimal number.
func chatNumber(text string) uint64 {
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return n
	}
	return xxhash.Sum64String(text)
}

// start logs a new execution and queues it, or returns nil for an overload.
// It replaces an earlier attempt at the same request.
func (s *Server) start(r *http.Request, messages []Message) *run {
	now := time.Now()
	chat := r.Header.Get("Hemlock-Chat")
	ctx, cancel := context.WithCancel(context.Background())
	u := &run{
		id: cmp.Or(r.Header.Get("Request-Id"), rand.Text()), attempt: cmp.Or(r.Header.Get("Request-Attempt"), "1"),
		chat: chatNumber(chat), hasChat: chat != "", priority: parsePriority(r.Header.Get("Request-Priority")),
		messages: messages, prefixes: hashMessages(messages), ctx: ctx, cancel: cancel,
		admitted: make(chan struct{}), changed: make(chan struct{}),
	}
	u.execution = &Execution{RequestID: u.id, Attempt: u.attempt, Chat: chat, Started: now, Outcome: "running"}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, u.execution)
	if s.coldLeft > 0 && s.stats.Running+s.stats.Waiting >= s.options.ColdLimit {
		s.stats.Overloads++
		u.execution.Outcome, u.execution.Finished = "overload", now
		cancel()
		return nil
	}
	if old := s.runs[u.id]; old != nil {
		s.stop(old, "superseded")
	}
	s.runs[u.id] = u
	u.readers = 1
	s.stats.Started++
	s.stats.Waiting++
	load := s.stats.Running + s.stats.Waiting
	s.stats.PeakLoad = max(s.stats.PeakLoad, load)
	if s.coldLeft > 0 {
		s.stats.PeakColdLoad = max(s.stats.PeakColdLoad, load)
	}
	at := slices.IndexFunc(s.queue, func(q *run) bool { return q.priority > u.priority })
	if at < 0 {
		at = len(s.queue)
	}
	s.queue = slices.Insert(s.queue, at, u)
	s.admit()
	s.report(now)
	go s.execute(u)
	return u
}

// admit moves runs from the queue into the batch; the caller holds the lock.
func (s *Server) admit() {
	for len(s.queue) > 0 && s.stats.Running < s.options.MaxBatch {
		u := s.queue[0]
		s.queue = s.queue[1:]
		s.stats.Waiting--
		s.stats.Running++
		s.stats.PeakRunning = max(s.stats.PeakRunning, s.stats.Running)
		u.running = true
		close(u.admitted)
	}
}

// execute generates the answer; it ends when the run is complete or stopped.
func (s *Server) execute(u *run) {
	defer u.cancel()
	select {
	case <-u.admitted:
	case <-u.ctx.Done():
		return
	}
	if !clock.Sleep(u.ctx, s.prefill(u)) {
		return
	}
	answer := answerWords(u.messages)
	for i, word := range answer {
		if i > 0 && !clock.Sleep(u.ctx, s.interval()) {
			return
		}
		s.append(u, chunk{text: word})
	}
	s.complete(u, len(answer))
}

// prefill looks up the cache and returns the time to the first token.
func (s *Server) prefill(u *run) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.prompt = u.prefixes[len(u.prefixes)-1].tokens
	if u.hasChat {
		u.cached = s.cache.match(u.chat, u.prefixes)
		s.cache.add(time.Now(), u.chat, u.prefixes)
	}
	s.stats.PromptTokens += int64(u.prompt)
	s.stats.CachedTokens += int64(u.cached)
	d := time.Duration(u.prompt-u.cached) * s.options.PrefillPerToken
	if s.coldLeft > 0 {
		d = time.Duration(float64(d) * s.options.ColdFactor)
	}
	return d + s.options.BetweenTokens
}

func (s *Server) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.options.BetweenTokens) * (1 + s.options.BatchFactor*float64(s.stats.Running-1)))
}

func (s *Server) append(u *run, c chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !u.cancelled {
		u.chunks = append(u.chunks, c)
		u.notify()
	}
}

func (s *Server) complete(u *run, output int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.cancelled {
		return
	}
	usage := &usage{PromptTokens: u.prompt, CompletionTokens: output, TotalTokens: u.prompt + output}
	usage.Details.CachedTokens = u.cached
	u.chunks = append(u.chunks, chunk{finish: "stop", usage: usage}, chunk{done: true})
	u.finished = true
	if u.hasChat {
		reply := Message{Role: "assistant", Content: Answer(u.messages)}
		s.cache.add(time.Now(), u.chat, hashMessages(append(slices.Clone(u.messages), reply)))
	}
	s.coldLeft = max(0, s.coldLeft-1)
	s.stats.Completed++
	s.leave(u, "complete")
	u.notify()
	if u.readers == 0 {
		s.keep(u)
	}
}

// leave takes a run out of the batch or the queue; the caller holds the lock.
func (s *Server) leave(u *run, outcome string) {
	now := time.Now()
	if u.running {
		u.running = false
		s.stats.Running--
	} else if i := slices.Index(s.queue, u); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.stats.Waiting--
	}
	u.execution.Outcome, u.execution.Finished = outcome, now
	s.admit()
	s.report(now)
}

// stop ends an unfinished run and forgets it; the caller holds the lock.
func (s *Server) stop(u *run, outcome string) {
	if s.runs[u.id] == u {
		delete(s.runs, u.id)
	}
	if u.finished || u.cancelled {
		return
	}
	u.cancelled = true
	u.cancel()
	s.stats.Cancelled++
	s.leave(u, outcome)
	u.notify()
}

// detach notes that a connection to the run has ended. The run is kept for a
// while even if its whole text was written: a silent connection loses what was
// written to it.
func (s *Server) detach(u *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.readers--; u.readers > 0 {
		return
	}
	if s.options.Keep < 0 {
		s.stop(u, "cancelled")
		return
	}
	s.keep(u)
}

// keep forgets a finished run after the time for resume; the caller holds the
// lock. An unfinished run goes on and is kept from its end on.
func (s *Server) keep(u *run) {
	if u.forget != nil {
		u.forget.Stop()
	}
	if !u.finished {
		return
	}
	u.forget = time.AfterFunc(s.options.Keep, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runs[u.id] == u && u.readers == 0 {
			delete(s.runs, u.id)
		}
	})
}

// attach finds the run to resume, or returns nil if it is no longer kept.
func (s *Server) attach(id, attempt string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.runs[id]
	if u == nil || u.attempt != attempt {
		return nil
	}
	u.readers++
	u.execution.Resumes++
	s.stats.Resumed++
	return u
}
