package plain

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/once"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

const (
	// defaultMaxBody is the largest request body in bytes. Bodies are held in
	// memory, since their hash identifies the call.
	defaultMaxBody = 1 << 20
	// defaultBudget bounds the bodies of all requests in progress, in bytes. It
	// is the largest max_body of a workspace, so that each permitted body fits.
	defaultBudget = 256 << 20
	// defaultAttempts bounds the hosts that one request can try.
	defaultAttempts = 3
	// defaultCallLimit bounds a call with a key, which goes on after its
	// caller left so that the response can be recorded.
	defaultCallLimit = 2 * time.Minute
	// defaultWriteLimit is the longest time that a caller may take to receive
	// one piece of the response beyond what the socket buffers hold.
	defaultWriteLimit = 10 * time.Second
	// defaultBodyTime is the longest time that a caller may take to send the
	// body.
	defaultBodyTime = 30 * time.Second
	// maxKey bounds the header Idempotency-Key, in bytes.
	maxKey = 256
	prefix = "/services/"
)

// Services sends calls to plain services.
type Services interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Response, error)
}

// Records admits calls with an idempotency key.
type Records interface {
	Begin(ctx context.Context, now time.Time, c once.Call) (*once.Attempt, *once.Response, error)
}

// Handler serves /services/{service}/. It is safe for concurrent use.
type Handler struct {
	admission  admission.Admission
	services   Services
	records    Records
	keys       admission.KeyResolver
	observer   admission.Observer
	now        func() time.Time
	maxBody    func(workspace string) int64
	budget     int64
	held       atomic.Int64
	attempts   int
	callLimit  time.Duration
	writeLimit time.Duration
	bodyTime   time.Duration
}

// Option changes a default of a Handler.
type Option func(h *Handler)

// WithMaxBody sets the largest body of a workspace, in bytes; 0 or less means
// the default of 1 MiB.
func WithMaxBody(f func(workspace string) int64) Option { return func(h *Handler) { h.maxBody = f } }

// WithBodyBudget sets the largest size of the bodies of all requests in
// progress, in bytes; above it requests are refused.
func WithBodyBudget(n int64) Option { return func(h *Handler) { h.budget = n } }

// WithAttempts sets how many attempts a repeatable request has.
func WithAttempts(n int) Option { return func(h *Handler) { h.attempts = n } }

// WithCallLimit sets the longest time of a call with a key.
func WithCallLimit(d time.Duration) Option { return func(h *Handler) { h.callLimit = d } }

// WithWriteLimit sets the longest time that a caller may take for one write.
func WithWriteLimit(d time.Duration) Option { return func(h *Handler) { h.writeLimit = d } }

// WithBodyTime sets the longest time that a caller may take for the body.
func WithBodyTime(d time.Duration) Option { return func(h *Handler) { h.bodyTime = d } }

// WithClock sets the clock of the records.
func WithClock(now func() time.Time) Option { return func(h *Handler) { h.now = now } }

// New returns a handler for /services/{service}/.
func New(a admission.Admission, services Services, records Records, keys admission.KeyResolver, observer admission.Observer, options ...Option) *Handler {
	h := &Handler{
		admission: a, services: services, records: records, keys: keys, observer: observer,
		now:        time.Now,
		maxBody:    func(string) int64 { return 0 },
		budget:     defaultBudget,
		attempts:   defaultAttempts,
		callLimit:  defaultCallLimit,
		writeLimit: defaultWriteLimit,
		bodyTime:   defaultBodyTime,
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// ServeHTTP handles one request and reports its end to the observer. If the
// response breaks after its header, the connection to the caller is broken
// off, since HTTP has no other sign for that.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(h, w, r)
	// A deadline left by the last response on this connection would break the
	// writes of this one.
	_ = x.control.SetWriteDeadline(time.Time{})
	err := x.check()
	if err == nil {
		err = x.serve()
	}
	x.end(err)
	if err != nil && x.begun {
		panic(http.ErrAbortHandler)
	}
}

var serviceNames = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// refusedMethods make no sense behind a router: a tunnel, and an echo of the
// request with its credentials.
var refusedMethods = map[string]bool{http.MethodConnect: true, http.MethodTrace: true}

// check finds service, path, workspace, class and key.
func (x *exchange) check() error {
	service, rest, ok := strings.Cut(strings.TrimPrefix(x.r.URL.EscapedPath(), prefix), "/")
	if !ok || !strings.HasPrefix(x.r.URL.Path, prefix) || !serviceNames.MatchString(service) || dotted(x.r.URL.Path) {
		return &fault{status: http.StatusNotFound, message: "path must be /services/{service}/... without dot segments"}
	}
	x.event.Service, x.path = service, "/"+rest
	if x.r.URL.RawQuery != "" {
		x.path += "?" + x.r.URL.RawQuery
	}
	if refusedMethods[x.r.Method] {
		return &fault{status: http.StatusMethodNotAllowed, message: "method " + x.r.Method + " is not passed on"}
	}
	if entry.HeaderSize(x.r.Header) > entry.MaxHeaderBytes {
		return &fault{status: http.StatusRequestHeaderFieldsTooLarge, message: "the header is too large"}
	}
	workspace, ok := x.handler.keys.Workspace(entry.BearerKey(x.r.Header))
	if !ok {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		return &fault{status: http.StatusUnauthorized, message: "the bearer key is missing or not valid"}
	}
	x.event.Workspace, x.event.Class = workspace, x.r.Header.Get("Hemlock-Class")
	if !entry.ValidClass(x.event.Class) {
		return &fault{status: http.StatusBadRequest, message: "the class is not known"}
	}
	return x.checkKey()
}

// dotted reports whether a path has a segment that leads upwards; the service
// behind would resolve it against another path than the one checked here.
func dotted(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}

func (x *exchange) checkKey() error {
	values := x.r.Header.Values("Idempotency-Key")
	if len(values) > 1 || len(values) == 1 && (values[0] == "" || len(values[0]) > maxKey) {
		return &fault{status: http.StatusBadRequest, message: "Idempotency-Key must occur once with 1 to 256 bytes"}
	}
	if len(values) == 1 {
		x.key = values[0]
	}
	return nil
}
