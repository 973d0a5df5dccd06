package chat

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

const (
	// defaultMaxBody holds a conversation of about a million tokens.
	defaultMaxBody = 4 << 20
	// defaultBudget bounds the bodies of all requests in progress, in bytes; at
	// the usual size of a few KiB other limits come first.
	defaultBudget = 256 << 20
	// defaultAttempts bounds the engines that one request can load.
	defaultAttempts = 3
	// defaultStartLimit bounds the time in which attempts begin and a first
	// chunk must come. It leaves room for the detection of several silent
	// connections (10 s each).
	defaultStartLimit = 60 * time.Second
	// defaultStreamLimit bounds a whole stream, so that an engine that sends
	// heartbeats only cannot hold a graceful shutdown for ever.
	defaultStreamLimit = 30 * time.Minute
	// defaultWriteLimit is the longest time that a caller may take to receive
	// one chunk beyond what the socket buffers hold.
	defaultWriteLimit = 10 * time.Second
	// defaultBodyTime is the longest time that a caller may take to send the
	// body.
	defaultBodyTime = 30 * time.Second
)

// Engines streams completions from model engines.
type Engines interface {
	Stream(ctx context.Context, call engine.Call, deliver func(engine.Chunk) error) (engine.Result, error)
}

// Catalog lists the models that can be asked for.
type Catalog interface {
	// Models returns the names, empty as long as none is known.
	Models() []string
}

// Handler serves the chat-completions interface. It is safe for concurrent
// use.
type Handler struct {
	admission   admission.Admission
	engines     Engines
	keys        admission.KeyResolver
	catalog     Catalog
	observer    admission.Observer
	maxBody     func(workspace string) int64
	budget      int64
	held        atomic.Int64
	attempts    int
	startLimit  time.Duration
	streamLimit time.Duration
	writeLimit  time.Duration
	bodyTime    time.Duration
}

// Option changes a default of a Handler.
type Option func(h *Handler)

// WithMaxBody sets the largest body of a workspace, in bytes; 0 or less means
// the default of 4 MiB.
func WithMaxBody(f func(workspace string) int64) Option { return func(h *Handler) { h.maxBody = f } }

// WithBodyBudget sets the largest size of the bodies of all requests in
// progress, in bytes; above it requests are refused.
func WithBodyBudget(n int64) Option { return func(h *Handler) { h.budget = n } }

// WithAttempts sets how many attempts a request has.
func WithAttempts(n int) Option { return func(h *Handler) { h.attempts = n } }

// WithStartLimit sets the time within which a first chunk must come.
func WithStartLimit(d time.Duration) Option { return func(h *Handler) { h.startLimit = d } }

// WithStreamLimit sets the longest time from the first chunk to the end.
func WithStreamLimit(d time.Duration) Option { return func(h *Handler) { h.streamLimit = d } }

// WithWriteLimit sets the longest time that a caller may take for one chunk.
func WithWriteLimit(d time.Duration) Option { return func(h *Handler) { h.writeLimit = d } }

// WithBodyTime sets the longest time that a caller may take for the body.
func WithBodyTime(d time.Duration) Option { return func(h *Handler) { h.bodyTime = d } }

// New returns a handler for /v1/chat/completions and /v1/models.
func New(a admission.Admission, engines Engines, keys admission.KeyResolver, catalog Catalog, observer admission.Observer, options ...Option) *Handler {
	h := &Handler{
		admission: a, engines: engines, keys: keys, catalog: catalog, observer: observer,
		maxBody:     func(string) int64 { return 0 },
		budget:      defaultBudget,
		attempts:    defaultAttempts,
		startLimit:  defaultStartLimit,
		streamLimit: defaultStreamLimit,
		writeLimit:  defaultWriteLimit,
		bodyTime:    defaultBodyTime,
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// route is one path of the interface.
type route struct {
	method string
	serve  func(x *exchange) error
}

var routes = map[string]route{
	"/v1/chat/completions": {method: http.MethodPost, serve: (*exchange).complete},
	"/v1/models":           {method: http.MethodGet, serve: (*exchange).models},
}

// ServeHTTP handles one request and reports its end to the observer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(h, w, r)
	// A deadline left by the last response on this connection would break the
	// writes of this one.
	_ = x.control.SetWriteDeadline(time.Time{})
	x.end(x.serve())
}

// serve checks what is common to all paths and calls the route.
func (x *exchange) serve() error {
	to, ok := routes[x.r.URL.Path]
	if !ok {
		return &fault{status: http.StatusNotFound, code: "not_found", message: "path is not known"}
	}
	if x.r.Method != to.method {
		x.w.Header().Set("Allow", to.method)
		return &fault{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "use " + to.method}
	}
	if entry.HeaderSize(x.r.Header) > entry.MaxHeaderBytes {
		return &fault{status: http.StatusRequestHeaderFieldsTooLarge, code: "header_too_large", message: "the header is too large"}
	}
	if err := x.authorize(); err != nil {
		return err
	}
	return to.serve(x)
}

// authorize finds the workspace by the bearer key.
func (x *exchange) authorize() error {
	if workspace, ok := x.handler.keys.Workspace(entry.BearerKey(x.r.Header)); ok {
		x.event.Workspace = workspace
		return nil
	}
	x.w.Header().Set("WWW-Authenticate", "Bearer")
	return &fault{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the bearer key is missing or not valid"}
}

// model is an entry of GET /v1/models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int    `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models.
func (x *exchange) models() error {
	list := []model{}
	for _, name := range x.handler.catalog.Models() {
		list = append(list, model{ID: name, Object: "model", OwnedBy: "hemlockcroft"})
	}
	text, err := json.Marshal(map[string]any{"object": "list", "data": list})
	if err != nil {
		return verdict.New(verdict.NotRun, err)
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.deadline()
	if _, err := x.w.Write(text); err != nil {
		return &callerError{err: err}
	}
	return nil
}
