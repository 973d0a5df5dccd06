package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// chunk is one event of the stream: text, the finish reason with the usage, or
// [DONE].
type chunk struct {
	text   string
	finish string
	usage  *usage
	done   bool
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type chatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream"`
}

func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	for pattern, handle := range map[string]http.HandlerFunc{
		"POST /v1/chat/completions": s.serveChat,
		"POST /v1/cancel":           s.serveCancel,
		"GET /v1/load":              s.serveLoad,
		"GET /v1/cache/events":      s.serveCacheEvents,
		"POST /v1/kv/export":        s.serveExport,
		"POST /v1/kv/import":        s.serveImport,
		"GET /v1/orders":            s.serveGetConfig,
		"POST /v1/orders":           s.serveSetConfig,
		"GET /executions": func(w http.ResponseWriter, _ *http.Request) {
			standin.WriteJSON(w, http.StatusOK, s.Executions())
		},
		"GET /orders": func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, s.ConfigUpdates()) },
		"GET /stats":  func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, s.Stats()) },
		"/faults": func(w http.ResponseWriter, r *http.Request) {
			faults := s.Faults()
			standin.HandleFaults(w, r, &faults, func() { s.SetFaults(faults) })
		},
	} {
		mux.HandleFunc(pattern, handle)
	}
	return mux
}

// writeRefusal writes an error response that says the request was not executed.
func writeRefusal(w http.ResponseWriter, status int, message string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	w.Header().Set("Retry-After", "1")
	standin.WriteError(w, status, message)
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	var request chatRequest
	if !standin.DecodeJSON(w, r, &request) {
		return
	}
	if lastEventID := r.Header.Get("Last-Event-ID"); lastEventID != "" {
		s.resumeStream(w, r, lastEventID)
		return
	}
	s.mu.Lock()
	refuse, model, loading := s.faults.RefuseRequests, s.config.Model, s.loadingWeights
	if refuse || loading {
		s.stats.Refused++
	}
	s.mu.Unlock()
	switch {
	case refuse:
		writeRefusal(w, http.StatusServiceUnavailable, "engine refuses new requests")
		return
	case loading:
		writeRefusal(w, http.StatusServiceUnavailable, "engine is loading weights")
		return
	case request.Model != model:
		writeRefusal(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", request.Model))
		return
	}
	u := s.startRun(r, request.Messages)
	if u == nil {
		standin.WriteError(w, http.StatusInternalServerError, "engine is cold and overloaded")
		return
	}
	if request.Stream {
		s.streamChunks(w, r, u, 0)
		return
	}
	s.writeCompletion(w, r, u)
}

// resumeStream continues a stream after the event named by Last-Event-ID.
func (s *Server) resumeStream(w http.ResponseWriter, r *http.Request, lastEventID string) {
	attempt, text, _ := strings.Cut(lastEventID, ":")
	seq, err := strconv.Atoi(text)
	if err != nil || seq < 0 {
		standin.WriteError(w, http.StatusBadRequest, "Last-Event-ID is not <attempt>:<sequence>")
		return
	}
	u := s.attachReader(r.Header.Get("Request-Id"), attempt)
	if u == nil {
		standin.WriteError(w, http.StatusNotFound, "request is not kept")
		return
	}
	s.streamChunks(w, r, u, seq)
}

// chunksFrom returns the chunks from the index on, whether the run was
// cancelled, and a channel that is closed at the next change.
func (s *Server) chunksFrom(u *run, from int) (chunks []chunk, cancelled bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.chunks[min(from, len(u.chunks)):], u.cancelled, u.changed
}

// writeCompletion waits for the end of the run and writes the whole completion
// as one response.
func (s *Server) writeCompletion(w http.ResponseWriter, r *http.Request, u *run) {
	defer s.detachReader(u)
	for {
		chunks, cancelled, changed := s.chunksFrom(u, 0)
		if cancelled {
			standin.WriteError(w, http.StatusInternalServerError, "request was cancelled")
			return
		}
		if len(chunks) > 0 && chunks[len(chunks)-1].done {
			c := s.newCompletion(u, "chat.completion")
			stop := "stop"
			c.Choices[0].Message = &Message{Role: "assistant", Content: CompletionText(u.messages)}
			c.Choices[0].FinishReason, c.Usage = &stop, chunks[len(chunks)-2].usage
			standin.WriteJSON(w, http.StatusOK, c)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) newCompletion(u *run, object string) *completion {
	return &completion{
		ID: "chatcmpl-" + u.id, Object: object, Created: u.execution.Started.Unix(),
		Model: s.options.Model, Choices: make([]choice, 1),
	}
}

// eventData returns the data field of the event for a chunk.
func (s *Server) eventData(u *run, seq int, c chunk) []byte {
	if c.done {
		return []byte("[DONE]")
	}
	event := s.newCompletion(u, "chat.completion.chunk")
	event.Choices[0].Delta = &Message{Content: c.text}
	if seq == 1 {
		event.Choices[0].Delta.Role = "assistant"
	}
	if c.finish != "" {
		event.Choices[0].FinishReason, event.Usage = &c.finish, c.usage
	}
	text, _ := json.Marshal(event) // cannot fail for this type
	return text
}

// streamWriter writes the events of one connection, with the faults that were
// injected when it started.
type streamWriter struct {
	server    *Server
	run       *run
	w         http.ResponseWriter
	r         *http.Request
	faults    Faults
	sent      int
	heldEvent []byte // event to be written after the next one
}

// newStreamWriter copies the injected faults. Each stream uses up one of
// Faults.AffectedStreams.
func (s *Server) newStreamWriter(w http.ResponseWriter, r *http.Request, u *run) *streamWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if limited := s.faults.AffectedStreams > 0 && (f.CutAfterChunks > 0 || f.HangAfterChunks > 0); limited {
		if s.faults.AffectedStreams--; s.faults.AffectedStreams == 0 {
			s.faults.CutAfterChunks, s.faults.HangAfterChunks = 0, 0
		}
	}
	return &streamWriter{server: s, run: u, w: w, r: r, faults: f}
}

func formatEvent(attempt string, seq int, data []byte) []byte {
	return fmt.Appendf(nil, "id: %s:%d\ndata: %s\n\n", attempt, seq, data)
}

// writeChunk writes a chunk as the event of a sequence number and applies the
// faults.
func (sw *streamWriter) writeChunk(seq int, c chunk) error {
	text := formatEvent(sw.run.attempt, seq, sw.server.eventData(sw.run, seq, c))
	if sw.faults.AddStaleAttempt && c.text != "" {
		// The suffix makes another attempt, both as text and as a number.
		other := formatEvent(sw.run.attempt+"9", seq, sw.server.eventData(sw.run, seq, chunk{text: " stale"}))
		text = append(other, text...)
	}
	if sw.faults.DuplicateChunks {
		text = append(text, text...)
	}
	if sw.faults.ReorderChunks && sw.heldEvent == nil && !c.done {
		sw.heldEvent = text
		return nil
	}
	text = append(text, sw.heldEvent...)
	sw.heldEvent = nil
	if err := sw.writeAndFlush(text); err != nil {
		return err
	}
	sw.sent++
	switch sw.sent {
	case sw.faults.CutAfterChunks:
		standin.Abort()
	case sw.faults.HangAfterChunks:
		standin.Hang(sw.r)
	}
	return nil
}

func (sw *streamWriter) writeAndFlush(text []byte) error {
	if _, err := sw.w.Write(text); err != nil {
		return err
	}
	return http.NewResponseController(sw.w).Flush()
}

// streamChunks writes the chunks after a sequence number as server-sent events.
func (s *Server) streamChunks(w http.ResponseWriter, r *http.Request, u *run, after int) {
	defer s.detachReader(u)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	sw := s.newStreamWriter(w, r, u)
	heartbeat := time.NewTicker(s.options.HeartbeatInterval)
	defer heartbeat.Stop()
	if sw.writeAndFlush([]byte(": start\n\n")) != nil {
		return
	}
	done := false
	for seq := after + 1; ; {
		chunks, cancelled, changed := s.chunksFrom(u, seq-1)
		for _, c := range chunks {
			if sw.writeChunk(seq, c) != nil {
				return
			}
			seq++
			done = c.done
		}
		if done || cancelled {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if sw.writeAndFlush([]byte(": heartbeat\n\n")) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request struct {
		RequestID string `json:"request_id"`
	}
	if !standin.DecodeJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	u := s.runs[request.RequestID]
	if u != nil {
		s.cancelRun(u, "cancelled")
	}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]bool{"cancelled": u != nil})
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.visibleLoadReport(time.Now())
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, report)
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		standin.WriteError(w, http.StatusBadRequest, "after is not a sequence number")
		return
	}
	s.mu.Lock()
	events := s.cache.eventsSince(time.Now(), after, s.options.CacheEventLag, s.options.DropEveryNthEvent)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if encoder.Encode(e) != nil {
			return
		}
	}
}

// ServingConfig is the model, adapter, version and role of an engine.
// GET /v1/orders returns the current one and POST /v1/orders changes it; empty
// fields of the request keep their values.
type ServingConfig struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

func (s *Server) serveGetConfig(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	config := s.config
	w.Header().Set("Fencing-Number", strconv.FormatUint(s.fencingToken, 10))
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, config)
}

// merge returns the configuration with the non-empty fields of the update.
func (c ServingConfig) merge(update ServingConfig) ServingConfig {
	for _, f := range []struct{ to, from *string }{
		{&c.Model, &update.Model},
		{&c.Adapter, &update.Adapter},
		{&c.Version, &update.Version},
		{&c.Role, &update.Role},
	} {
		if *f.from != "" {
			*f.to = *f.from
		}
	}
	return c
}

func (s *Server) serveSetConfig(w http.ResponseWriter, r *http.Request) {
	var requested ServingConfig
	if !standin.DecodeJSON(w, r, &requested) {
		return
	}
	fencingToken, err := strconv.ParseUint(r.Header.Get("Fencing-Number"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "Fencing-Number is not a number")
		return
	}
	update := s.receiveUpdate(fencingToken, requested)
	config := s.decideUpdate(update)
	switch update.Outcome {
	case "stale":
		standin.WriteError(w, http.StatusConflict, "stale fencing token")
		return
	case "busy":
		writeRefusal(w, http.StatusServiceUnavailable, "another order is being carried out")
		return
	}
	if update.LoadsWeights {
		// An accepted update takes effect even if its client has disconnected.
		err = s.fetchWeights(context.WithoutCancel(r.Context()), config.Model)
	}
	s.finishUpdate(config, update.LoadsWeights, err)
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	standin.WriteJSON(w, http.StatusOK, config)
}

// receiveUpdate logs a config update. Under HoldConfigUpdate it blocks, for one
// update at a time, until the fault is lifted. A disconnect of the client doesn't
// release the update, because a request in flight cannot be revoked.
func (s *Server) receiveUpdate(fencingToken uint64, config ServingConfig) *ConfigUpdate {
	update := &ConfigUpdate{FencingToken: fencingToken, Config: config, Arrived: time.Now(), Outcome: "held"}
	s.mu.Lock()
	s.configUpdates = append(s.configUpdates, update)
	hold := s.faults.HoldConfigUpdate && s.releaseUpdate == nil
	if hold {
		s.releaseUpdate = make(chan struct{})
	}
	release := s.releaseUpdate
	s.mu.Unlock()
	if hold {
		<-release
	}
	return update
}

// decideUpdate accepts or rejects an update and returns the configuration that
// it requests.
func (s *Server) decideUpdate(update *ConfigUpdate) ServingConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := s.config.merge(update.Config)
	stale := update.FencingToken < s.fencingToken
	if stale {
		s.stats.StaleConfigUpdates++
	}
	update.Decided = time.Now()
	switch {
	case stale && s.options.ChecksFencing:
		update.Outcome = "stale"
	case s.loadingWeights:
		update.Outcome = "busy"
	default:
		update.Outcome = "accepted"
		update.LoadsWeights = config.Model != s.config.Model || config.Adapter != s.config.Adapter || config.Version != s.config.Version
		s.fencingToken = max(s.fencingToken, update.FencingToken)
		s.loadingWeights = update.LoadsWeights
	}
	return config
}

// finishUpdate applies an update unless its weights failed to load. An engine
// that loaded weights becomes cold.
func (s *Server) finishUpdate(config ServingConfig, loaded bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loaded {
		s.loadingWeights = false
	}
	if err != nil || config == s.config {
		return
	}
	s.config = config
	s.stats.ConfigUpdates++
	if loaded {
		s.restart()
	}
	s.recordLoad(time.Now())
}

// fetchWeights downloads the weights of a model from the weight store.
func (s *Server) fetchWeights(ctx context.Context, model string) error {
	if s.options.WeightsURL == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.options.WeightsURL+"/weights/"+model, nil)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", response.StatusCode)
	}
	return nil
}

// cachedChat is the cached prefix of a chat that /v1/kv/export and /v1/kv/import
// pass between engines.
type cachedChat struct {
	Chat     uint64     `json:"chat"`
	Prefixes [][2]int64 `json:"prefixes"` // hash as a signed integer, and tokens
	Tokens   int        `json:"tokens"`
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var document cachedChat
	if !standin.DecodeJSON(w, r, &document) {
		return
	}
	s.mu.Lock()
	var prefixes []prefix
	if element := s.cache.chats[document.Chat]; element != nil {
		prefixes = element.Value.(*cacheEntry).prefixes
	}
	s.mu.Unlock()
	if prefixes == nil {
		standin.WriteError(w, http.StatusNotFound, "chat is not cached")
		return
	}
	document.Prefixes = nil
	for _, p := range prefixes {
		document.Prefixes = append(document.Prefixes, [2]int64{int64(p.hash), int64(p.tokens)})
		document.Tokens = p.tokens
	}
	standin.WriteJSON(w, http.StatusOK, document)
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var document cachedChat
	if !standin.DecodeJSON(w, r, &document) {
		return
	}
	if len(document.Prefixes) == 0 {
		standin.WriteError(w, http.StatusBadRequest, "prefixes are missing")
		return
	}
	prefixes := make([]prefix, 0, len(document.Prefixes))
	for _, p := range document.Prefixes {
		prefixes = append(prefixes, prefix{hash: uint64(p[0]), tokens: int(p[1])})
	}
	s.mu.Lock()
	s.cache.add(time.Now(), document.Chat, prefixes)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]int{"tokens": prefixes[len(prefixes)-1].tokens})
}
