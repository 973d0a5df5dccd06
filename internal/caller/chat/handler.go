package chat

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

const (
	// defaultMaxBody is the maximum body size in bytes, enough for a chat of
	// about a million tokens.
	defaultMaxBody = 4 << 20
	// defaultMaxAttempts limits the number of engines that one request can load.
	defaultMaxAttempts = 3
	// defaultFirstChunkTimeout limits the time from arrival in which attempts may
	// start and must send a first chunk. It leaves time to detect several
	// unresponsive connections (10 s each).
	defaultFirstChunkTimeout = 60 * time.Second
	// defaultStreamTimeout limits the duration of a stream, so that an engine
	// that only sends heartbeats cannot block a graceful shutdown indefinitely.
	defaultStreamTimeout = 30 * time.Minute
	// defaultWriteTimeout limits how long writing one chunk may block once the
	// socket buffers are full.
	defaultWriteTimeout = 10 * time.Second
	// defaultBodyReadTimeout limits how long a caller may take to send the body.
	defaultBodyReadTimeout = 30 * time.Second
)

// EngineClient streams completions from engines. Stream passes each chunk to
// deliver and stops if deliver returns an error.
type EngineClient interface {
	Stream(ctx context.Context, call engine.Call, deliver func(engine.Chunk) error) (engine.Result, error)
}

// ModelCatalog lists the models that callers can request.
type ModelCatalog interface {
	// Models returns the model names, or an empty list while none are known.
	Models() []string
}

// Handler serves the chat-completions API. It is safe for concurrent use.
type Handler struct {
	admission         admission.Admission
	engines           EngineClient
	keys              admission.KeyResolver
	catalog           ModelCatalog
	observer          admission.Observer
	guard             PartGuard
	maxBody           func(workspace string) int64
	maxAttempts       int
	firstChunkTimeout time.Duration
	streamTimeout     time.Duration
	writeTimeout      time.Duration
	bodyReadTimeout   time.Duration
}

// Option changes a default of a Handler.
type Option func(h *Handler)

// WithMaxBody sets the function that returns the maximum body size of a
// workspace in bytes; 0 or less means the default of 4 MiB.
func WithMaxBody(f func(workspace string) int64) Option { return func(h *Handler) { h.maxBody = f } }

// WithMaxAttempts sets the maximum number of attempts of a request.
func WithMaxAttempts(n int) Option { return func(h *Handler) { h.maxAttempts = n } }

// WithFirstChunkTimeout sets the time from the arrival of a request in which
// attempts may start and must send a first chunk.
func WithFirstChunkTimeout(d time.Duration) Option {
	return func(h *Handler) { h.firstChunkTimeout = d }
}

// WithStreamTimeout sets the maximum time from the first chunk to the end of
// the stream.
func WithStreamTimeout(d time.Duration) Option { return func(h *Handler) { h.streamTimeout = d } }

// WithWriteTimeout sets the maximum time that writing one chunk to the caller
// may block.
func WithWriteTimeout(d time.Duration) Option { return func(h *Handler) { h.writeTimeout = d } }

// WithBodyReadTimeout sets the maximum time that a caller may take to send the
// body.
func WithBodyReadTimeout(d time.Duration) Option { return func(h *Handler) { h.bodyReadTimeout = d } }

// New returns a handler for /v1/chat/completions and /v1/models.
func New(admitter admission.Admission, engines EngineClient, keys admission.KeyResolver, catalog ModelCatalog, observer admission.Observer, options ...Option) *Handler {
	h := &Handler{
		admission: admitter, engines: engines, keys: keys, catalog: catalog, observer: observer, guard: noGuard{},
		maxBody:           func(string) int64 { return 0 },
		maxAttempts:       defaultMaxAttempts,
		firstChunkTimeout: defaultFirstChunkTimeout,
		streamTimeout:     defaultStreamTimeout,
		writeTimeout:      defaultWriteTimeout,
		bodyReadTimeout:   defaultBodyReadTimeout,
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// route is the method and handler of one path.
type route struct {
	method string
	serve  func(x *exchange) error
}

var routes = map[string]route{
	"/v1/chat/completions": {method: http.MethodPost, serve: (*exchange).serveCompletion},
	"/v1/models":           {method: http.MethodGet, serve: (*exchange).serveModels},
}

// ServeHTTP handles one request and reports its summary to the observer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(h, w, r)
	// Clears a write deadline left by the previous response on this connection,
	// which would fail the writes of this one.
	_ = x.control.SetWriteDeadline(time.Time{})
	x.finish(x.serve())
}

// serve does the checks common to all paths and calls the handler of the route.
func (x *exchange) serve() error {
	matched, ok := routes[x.r.URL.Path]
	if !ok {
		return &requestError{status: http.StatusNotFound, code: "not_found", message: "path is not known"}
	}
	if x.r.Method != matched.method {
		x.w.Header().Set("Allow", matched.method)
		return &requestError{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "use " + matched.method}
	}
	if httpapi.HeaderSize(x.r.Header) > httpapi.MaxHeaderBytes {
		return &requestError{status: http.StatusRequestHeaderFieldsTooLarge, code: "header_too_large", message: "the header is too large"}
	}
	if err := x.authorize(); err != nil {
		return err
	}
	return matched.serve(x)
}

// authorize sets the workspace that the bearer key belongs to.
func (x *exchange) authorize() error {
	if workspace, ok := x.handler.keys.Workspace(httpapi.BearerKey(x.r.Header)); ok {
		x.summary.Workspace = workspace
		return nil
	}
	x.w.Header().Set("WWW-Authenticate", "Bearer")
	return &requestError{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the bearer key is missing or not valid"}
}

// modelEntry is an entry of GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int    `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves GET /v1/models.
func (x *exchange) serveModels() error {
	list := []modelEntry{}
	for _, name := range x.handler.catalog.Models() {
		list = append(list, modelEntry{ID: name, Object: "model", OwnedBy: "hemlockcroft"})
	}
	body, err := json.Marshal(map[string]any{"object": "list", "data": list})
	if err != nil {
		return verdict.New(verdict.NotRun, err)
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.setWriteDeadline()
	if _, err := x.w.Write(body); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}
