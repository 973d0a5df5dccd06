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

// Options configure an engine. New takes the value of Defaults for a zero field
// that the engine cannot run without.
type Options struct {
	Model                string
	CacheTokens          int           // size of the prefix cache in tokens
	ColdLimit            int           // maximum running and waiting requests while cold
	WarmAfterCompletions int           // completions until warm
	ColdPrefillFactor    float64       // multiplies the prefill time while cold
	MaxBatchSize         int           // maximum running requests; others wait
	PrefillPerToken      time.Duration // prefill time per uncached prompt token
	InterTokenLatency    time.Duration // time between output tokens while one request runs
	BatchSlowdown        float64       // relative growth of InterTokenLatency per further running request
	LoadReportLag        time.Duration // age of the load report that clients see
	CacheEventLag        time.Duration // age at which clients see a cache event
	DropEveryNthEvent    int           // omits cache events whose sequence number is a multiple of it, 0 for none
	ResumeWindow         time.Duration // how long a finished request can be resumed; negative cancels a request when its connection closes
	HeartbeatInterval    time.Duration // time between heartbeat comments on a stream
	ChecksFencing        bool          // reject config updates with a stale fencing token
	WeightsURL           string        // base URL of the weight store, "" to load no weights from it
}

// Defaults returns the options of a small engine.
func Defaults() Options {
	return Options{
		Model: "draft-8b", CacheTokens: 200_000, ColdLimit: 2, WarmAfterCompletions: 8, ColdPrefillFactor: 3, MaxBatchSize: 32,
		PrefillPerToken: 100 * time.Microsecond, InterTokenLatency: 4 * time.Millisecond, BatchSlowdown: 0.02,
		LoadReportLag: 300 * time.Millisecond, CacheEventLag: 500 * time.Millisecond, DropEveryNthEvent: 17,
		ResumeWindow: 30 * time.Second, HeartbeatInterval: 2 * time.Second,
	}
}

// withDefaults sets the zero fields that the engine cannot run without.
func (o Options) withDefaults() Options {
	d := Defaults()
	o.Model = cmp.Or(o.Model, d.Model)
	o.CacheTokens = cmp.Or(o.CacheTokens, d.CacheTokens)
	o.ColdLimit = cmp.Or(o.ColdLimit, d.ColdLimit)
	o.WarmAfterCompletions = cmp.Or(o.WarmAfterCompletions, d.WarmAfterCompletions)
	o.ColdPrefillFactor = cmp.Or(o.ColdPrefillFactor, d.ColdPrefillFactor)
	o.MaxBatchSize = cmp.Or(o.MaxBatchSize, d.MaxBatchSize)
	o.ResumeWindow = cmp.Or(o.ResumeWindow, d.ResumeWindow)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, d.HeartbeatInterval)
	return o
}

// Faults are the injected faults; POST /faults changes the fields it names.
type Faults struct {
	Restart          bool `json:"cold"`          // once: new boot ID, empty cache and cold as after a restart; connections stay open
	CutAfterChunks   int  `json:"cut_after"`     // close a stream after this many chunks
	HangAfterChunks  int  `json:"silent_after"`  // hang a stream after this many chunks
	AffectedStreams  int  `json:"streams"`       // number of streams to cut or hang, 0 for all
	DuplicateChunks  bool `json:"duplicate"`     // send each chunk twice
	ReorderChunks    bool `json:"reorder"`       // swap adjacent chunks
	AddStaleAttempt  bool `json:"stale_attempt"` // add chunks of another attempt
	RefuseRequests   bool `json:"refuse"`        // respond with 503 and Hemlock-Executed: no
	Draining         bool `json:"leaving"`       // report the state "leaving"
	HoldConfigUpdate bool `json:"hold_order"`    // hold the next config update until this is off again
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

// ConfigUpdate is one entry of the log of config updates, added on arrival.
type ConfigUpdate struct {
	FencingToken uint64        `json:"fencing"`
	Config       ServingConfig `json:"order"`
	Arrived      time.Time     `json:"arrived"`
	Decided      time.Time     `json:"taken,omitzero"` // when it was accepted or rejected
	Outcome      string        `json:"outcome"`        // held, accepted, stale or busy
	LoadsWeights bool          `json:"loads,omitempty"`
}

// Stats are exact counts since the start. Load is the number of running and
// waiting requests.
type Stats struct {
	Running            int   `json:"running"`
	Waiting            int   `json:"waiting"`
	PeakRunning        int   `json:"peak_running"`
	PeakLoad           int   `json:"peak_load"`
	PeakColdLoad       int   `json:"peak_cold_load"` // highest load at the arrival of an accepted request while cold
	Started            int   `json:"started"`
	Completed          int   `json:"completed"`
	Cancelled          int   `json:"cancelled"`
	Overloads          int   `json:"overloads"`
	Refused            int   `json:"refused"`
	Resumed            int   `json:"resumed"`
	Boots              int   `json:"boots"`
	PromptTokens       int64 `json:"prompt_tokens"`
	CachedTokens       int64 `json:"cached_tokens"`
	ConfigUpdates      int   `json:"orders"`       // config updates that changed the configuration
	StaleConfigUpdates int   `json:"stale_orders"` // config updates with a stale fencing token, accepted or rejected
	Cold               bool  `json:"cold"`
}

// loadReport is the response body of /v1/load.
type loadReport struct {
	BootID      string    `json:"boot_id"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	CacheTokens int       `json:"cache_tokens"`
	State       string    `json:"state"`
	Model       string    `json:"model"`
	Time        time.Time `json:"time"`
}

// Server is a fake engine that implements http.Handler.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu                   sync.Mutex
	faults               Faults
	bootID               string
	completionsUntilWarm int // completions until warm, 0 when warm
	cache                *cache
	runs                 map[string]*run // by request ID: unfinished or available for resume
	queue                []*run          // waiting, next to run first
	executions           []*Execution
	stats                Stats
	loadReports          []loadReport // one per change; the first is the one that clients see
	config               ServingConfig
	fencingToken         uint64
	loadingWeights       bool
	configUpdates        []*ConfigUpdate
	releaseUpdate        chan struct{} // closed to release the held config update, nil if none is held
}

// New returns a cold engine with an empty cache.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{options: o, cache: newCache(o.CacheTokens), runs: map[string]*run{}, config: ServingConfig{Model: o.Model, Role: "generate"}}
	s.restart()
	s.recordLoad(time.Now())
	s.mux = s.routes()
	return s
}

// ServeHTTP serves the engine's API and /executions, /orders, /stats and /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Engine-Boot", s.bootID)
	s.mu.Unlock()
	s.mux.ServeHTTP(w, r)
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Cold = s.completionsUntilWarm > 0
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

// ConfigUpdates returns a copy of the log of config updates.
func (s *Server) ConfigUpdates() []ConfigUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := make([]ConfigUpdate, 0, len(s.configUpdates))
	for _, update := range s.configUpdates {
		log = append(log, *update)
	}
	return log
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults; Restart takes effect once.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Restart {
		s.restart()
	}
	if !f.HoldConfigUpdate && s.releaseUpdate != nil {
		close(s.releaseUpdate)
		s.releaseUpdate = nil
	}
	f.Restart = false
	s.faults = f
	s.recordLoad(time.Now())
}

// restart makes the engine cold, with a new boot ID and an empty cache. The
// caller holds s.mu.
func (s *Server) restart() {
	s.bootID = rand.Text()
	s.completionsUntilWarm = s.options.WarmAfterCompletions
	s.cache.reset()
	s.stats.Boots++
}

// recordLoad adds a load report and removes those older than the visible one.
// The caller holds s.mu.
func (s *Server) recordLoad(now time.Time) {
	state := "warm"
	switch {
	case s.faults.Draining:
		state = "leaving"
	case s.completionsUntilWarm > 0:
		state = "cold"
	}
	s.loadReports = append(s.loadReports, loadReport{
		BootID: s.bootID, Running: s.stats.Running, Waiting: s.stats.Waiting,
		CacheTokens: s.cache.tokens, State: state, Model: s.config.Model, Time: now,
	})
	s.visibleLoadReport(now)
}

// visibleLoadReport returns the newest report that is at least LoadReportLag
// old, or else the first one, and removes older reports. The caller holds s.mu.
func (s *Server) visibleLoadReport(now time.Time) loadReport {
	next := slices.IndexFunc(s.loadReports, func(l loadReport) bool { return now.Sub(l.Time) < s.options.LoadReportLag })
	if next < 0 {
		next = len(s.loadReports)
	}
	s.loadReports = s.loadReports[max(0, next-1):]
	report := s.loadReports[0]
	// Without a change no report is added, but a real engine would go on
	// reporting: the time advances with the clock.
	if next > 0 {
		report.Time = now.Add(-s.options.LoadReportLag)
	}
	return report
}

// run is the execution of one request. It continues when its connection closes.
type run struct {
	id, attempt string
	chatID      uint64
	hasChatID   bool
	priority    int
	messages    []Message
	prefixes    []prefix
	execution   *Execution
	ctx         context.Context
	cancel      context.CancelFunc
	admitted    chan struct{} // closed when the run moves from the queue to the batch

	// Server.mu guards the rest.
	running      bool
	chunks       []chunk
	finished     bool
	cancelled    bool
	promptTokens int
	cachedTokens int
	readers      int // connections that read the run
	removalTimer *time.Timer
	changed      chan struct{} // closed and replaced at each new chunk
}

func (u *run) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// priorities maps the class names in Request-Priority, which may also hold a
// number, to priorities. Lower priorities run first.
var priorities = map[string]int{"interactive": 0, "": 1, "standard": 1, "batch": 2}

func parsePriority(text string) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return priorities[text]
}

// parseChatID returns the number in a Hemlock-Chat header, or the hash of its
// text if it is not a decimal number.
func parseChatID(text string) uint64 {
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return n
	}
	return xxhash.Sum64String(text)
}

// startRun logs a new execution and queues it, or returns nil if the engine is
// cold and at its limit. It cancels an earlier attempt at the same request.
func (s *Server) startRun(r *http.Request, messages []Message) *run {
	now := time.Now()
	chatHeader := r.Header.Get("Hemlock-Chat")
	ctx, cancel := context.WithCancel(context.Background())
	u := &run{
		id: cmp.Or(r.Header.Get("Request-Id"), rand.Text()), attempt: cmp.Or(r.Header.Get("Request-Attempt"), "1"),
		chatID: parseChatID(chatHeader), hasChatID: chatHeader != "", priority: parsePriority(r.Header.Get("Request-Priority")),
		messages: messages, prefixes: messagePrefixes(messages), ctx: ctx, cancel: cancel,
		admitted: make(chan struct{}), changed: make(chan struct{}),
	}
	u.execution = &Execution{RequestID: u.id, Attempt: u.attempt, Chat: chatHeader, Started: now, Outcome: "running"}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, u.execution)
	if s.completionsUntilWarm > 0 && s.stats.Running+s.stats.Waiting >= s.options.ColdLimit {
		s.stats.Overloads++
		u.execution.Outcome, u.execution.Finished = "overload", now
		cancel()
		return nil
	}
	if previous := s.runs[u.id]; previous != nil {
		s.cancelRun(previous, "superseded")
	}
	s.runs[u.id] = u
	u.readers = 1
	s.stats.Started++
	s.stats.Waiting++
	load := s.stats.Running + s.stats.Waiting
	s.stats.PeakLoad = max(s.stats.PeakLoad, load)
	if s.completionsUntilWarm > 0 {
		s.stats.PeakColdLoad = max(s.stats.PeakColdLoad, load)
	}
	index := slices.IndexFunc(s.queue, func(q *run) bool { return q.priority > u.priority })
	if index < 0 {
		index = len(s.queue)
	}
	s.queue = slices.Insert(s.queue, index, u)
	s.admit()
	s.recordLoad(now)
	go s.execute(u)
	return u
}

// admit moves runs from the queue to the batch. The caller holds s.mu.
func (s *Server) admit() {
	for len(s.queue) > 0 && s.stats.Running < s.options.MaxBatchSize {
		u := s.queue[0]
		s.queue = s.queue[1:]
		s.stats.Waiting--
		s.stats.Running++
		s.stats.PeakRunning = max(s.stats.PeakRunning, s.stats.Running)
		u.running = true
		close(u.admitted)
	}
}

// execute generates the completion until the run is complete or cancelled.
func (s *Server) execute(u *run) {
	defer u.cancel()
	select {
	case <-u.admitted:
	case <-u.ctx.Done():
		return
	}
	if !clock.Sleep(u.ctx, s.beginPrefill(u)) {
		return
	}
	words := completionWords(u.messages)
	for i, word := range words {
		if i > 0 && !clock.Sleep(u.ctx, s.interTokenLatency()) {
			return
		}
		s.appendChunk(u, chunk{text: word})
	}
	s.completeRun(u, len(words))
}

// beginPrefill looks up and caches the prompt of a run with a chat ID, and
// returns the time to the first token.
func (s *Server) beginPrefill(u *run) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.promptTokens = u.prefixes[len(u.prefixes)-1].tokens
	if u.hasChatID {
		u.cachedTokens = s.cache.matchPrefix(u.chatID, u.prefixes)
		s.cache.add(time.Now(), u.chatID, u.prefixes)
	}
	s.stats.PromptTokens += int64(u.promptTokens)
	s.stats.CachedTokens += int64(u.cachedTokens)
	d := time.Duration(u.promptTokens-u.cachedTokens) * s.options.PrefillPerToken
	if s.completionsUntilWarm > 0 {
		d = time.Duration(float64(d) * s.options.ColdPrefillFactor)
	}
	return d + s.options.InterTokenLatency
}

func (s *Server) interTokenLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.options.InterTokenLatency) * (1 + s.options.BatchSlowdown*float64(s.stats.Running-1)))
}

func (s *Server) appendChunk(u *run, c chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !u.cancelled {
		u.chunks = append(u.chunks, c)
		u.notify()
	}
}

func (s *Server) completeRun(u *run, outputTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.cancelled {
		return
	}
	usage := &usage{PromptTokens: u.promptTokens, CompletionTokens: outputTokens, TotalTokens: u.promptTokens + outputTokens}
	usage.Details.CachedTokens = u.cachedTokens
	u.chunks = append(u.chunks, chunk{finish: "stop", usage: usage}, chunk{done: true})
	u.finished = true
	if u.hasChatID {
		reply := Message{Role: "assistant", Content: CompletionText(u.messages)}
		s.cache.add(time.Now(), u.chatID, messagePrefixes(append(slices.Clone(u.messages), reply)))
	}
	s.completionsUntilWarm = max(0, s.completionsUntilWarm-1)
	s.stats.Completed++
	s.endRun(u, "complete")
	u.notify()
	if u.readers == 0 {
		s.scheduleRemoval(u)
	}
}

// endRun removes a run from the batch or the queue. The caller holds s.mu.
func (s *Server) endRun(u *run, outcome string) {
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
	s.recordLoad(now)
}

// cancelRun deletes a run and ends it if it is unfinished. The caller holds s.mu.
func (s *Server) cancelRun(u *run, outcome string) {
	if s.runs[u.id] == u {
		delete(s.runs, u.id)
	}
	if u.finished || u.cancelled {
		return
	}
	u.cancelled = true
	u.cancel()
	s.stats.Cancelled++
	s.endRun(u, outcome)
	u.notify()
}

// detachReader records that a connection to the run has closed. The run stays
// available for resume even if all of it was written, because a connection that
// has died unnoticed loses what was written to it.
func (s *Server) detachReader(u *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.readers--; u.readers > 0 {
		return
	}
	if s.options.ResumeWindow < 0 {
		s.cancelRun(u, "cancelled")
		return
	}
	s.scheduleRemoval(u)
}

// scheduleRemoval deletes a finished run after the resume window. An unfinished
// run continues; its window starts when it completes. The caller holds s.mu.
func (s *Server) scheduleRemoval(u *run) {
	if u.removalTimer != nil {
		u.removalTimer.Stop()
	}
	if !u.finished {
		return
	}
	u.removalTimer = time.AfterFunc(s.options.ResumeWindow, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runs[u.id] == u && u.readers == 0 {
			delete(s.runs, u.id)
		}
	})
}

// attachReader returns the run to resume, or nil if the request is not available
// for resume or the attempt is another.
func (s *Server) attachReader(id, attempt string) *run {
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
