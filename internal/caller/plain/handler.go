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
	// defaultBodyBudget bounds the bodies of all requests in progress, in bytes. It
	// is the largest max_body of a workspace, so that each permitted body fits.
	defaultBodyBudget = 256 << 20
	// defaultMaxAttempts bounds the hosts that one request can try.
	defaultMaxAttempts = 3
	// defaultCallTimeout bounds a call with a key, which goes on after its
	// caller left so that the response can be recorded.
	defaultCallTimeout = 2 * time.Minute
	// defaultWriteTimeout is the longest time that a caller may take to receive
	// one piece of the response beyond what the socket buffers hold.
	defaultWriteTimeout = 10 * time.Second
	// defaultBodyReadTimeout is the longest time that a caller may take to send the
	// body.
	defaultBodyReadTimeout = 30 * time.Second
	// maxIdempotencyKey bounds the header Idempotency-Key, in bytes.
	maxIdempotencyKey = 256
	pathPrefix        = "/services/"
)

// ServiceClient sends calls to plain services.
type ServiceClient interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Response, error)
}

// IdempotencyRecords admits calls with an idempotency key.
type IdempotencyRecords interface {
	Begin(ctx context.Context, now time.Time, c once.Call) (*once.Attempt, *once.Response, error)
}

// Handler serves /services/{service}/. It is safe for concurrent use.
type Handler struct {
	admission       admission.Admission
	services        ServiceClient
	records         IdempotencyRecords
	keys            admission.Keys
	observer        admission.Observer
	now             func() time.Time
	maxBody         func(workspace string) int64
	bodyBudget      int64
	reservedBytes   atomic.Int64
	maxAttempts     int
	callTimeout     time.Duration
	writeTimeout    time.Duration
	bodyReadTimeout time.Duration
}

// Option changes a default of a Handler.
type Option func(h *Handler)

// WithMaxBody sets the largest body of a workspace, in bytes; 0 or less means
// the default of 1 MiB.
func WithMaxBody(f func(workspace string) int64) Option { return func(h *Handler) { h.maxBody = f } }

// WithBodyBudget sets the largest size of the bodies of all requests in
// progress, in bytes; above it requests are refused.
func WithBodyBudget(n int64) Option { return func(h *Handler) { h.bodyBudget = n } }

// WithMaxAttempts sets how many attempts a repeatable request has.
func WithMaxAttempts(n int) Option { return func(h *Handler) { h.maxAttempts = n } }

// WithCallTimeout sets the longest time of a call with a key.
func WithCallTimeout(d time.Duration) Option { return func(h *Handler) { h.callTimeout = d } }

// WithWriteTimeout sets the longest time that a caller may take for one write.
func WithWriteTimeout(d time.Duration) Option { return func(h *Handler) { h.writeTimeout = d } }

// WithBodyReadTimeout sets the longest time that a caller may take for the body.
func WithBodyReadTimeout(d time.Duration) Option { return func(h *Handler) { h.bodyReadTimeout = d } }

// WithClock sets the clock of the records.
func WithClock(now func() time.Time) Option { return func(h *Handler) { h.now = now } }

// New returns a handler for /services/{service}/.
func New(a admission.Admission, services ServiceClient, records IdempotencyRecords, keys admission.Keys, observer admission.Observer, options ...Option) *Handler {
	h := &Handler{
		admission: a, services: services, records: records, keys: keys, observer: observer,
		now:             time.Now,
		maxBody:         func(string) int64 { return 0 },
		bodyBudget:      defaultBodyBudget,
		maxAttempts:     defaultMaxAttempts,
		callTimeout:     defaultCallTimeout,
		writeTimeout:    defaultWriteTimeout,
		bodyReadTimeout: defaultBodyReadTimeout,
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
	err := x.validate()
	if err == nil {
		err = x.serve()
	}
	x.finish(err)
	if err != nil && x.headerSent {
		panic(http.ErrAbortHandler)
	}
}

var serviceNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// unsupportedMethods make no sense behind a router: a tunnel, and an echo of the
// request with its credentials.
var unsupportedMethods = map[string]bool{http.MethodConnect: true, http.MethodTrace: true}

// validate finds service, path, workspace, class and key.
func (x *exchange) validate() error {
	service, rest, ok := strings.Cut(strings.TrimPrefix(x.r.URL.EscapedPath(), pathPrefix), "/")
	if !ok || !strings.HasPrefix(x.r.URL.Path, pathPrefix) || !serviceNamePattern.MatchString(service) || hasDotSegment(x.r.URL.Path) {
		return &requestError{status: http.StatusNotFound, message: "path must be /services/{service}/... without dot segments"}
	}
	x.summary.Service, x.path = service, "/"+rest
	if x.r.URL.RawQuery != "" {
		x.path += "?" + x.r.URL.RawQuery
	}
	if unsupportedMethods[x.r.Method] {
		return &requestError{status: http.StatusMethodNotAllowed, message: "method " + x.r.Method + " is not passed on"}
	}
	if entry.HeaderSize(x.r.Header) > entry.MaxHeader {
		return &requestError{status: http.StatusRequestHeaderFieldsTooLarge, message: "the header is too large"}
	}
	workspace, ok := x.handler.keys.Workspace(entry.BearerKey(x.r.Header))
	if !ok {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		return &requestError{status: http.StatusUnauthorized, message: "the bearer key is missing or not valid"}
	}
	x.summary.Workspace, x.summary.Class = workspace, x.r.Header.Get("Hemlock-Class")
	if !entry.KnownClass(x.summary.Class) {
		return &requestError{status: http.StatusBadRequest, message: "the class is not known"}
	}
	return x.readIdempotencyKey()
}

// hasDotSegment reports whether a path has a segment that leads upwards; the service
// behind would resolve it against another path than the one checked here.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (x *exchange) readIdempotencyKey() error {
	values := x.r.Header.Values("Idempotency-Key")
	if len(values) > 1 || len(values) == 1 && (values[0] == "" || len(values[0]) > maxIdempotencyKey) {
		return &requestError{status: http.StatusBadRequest, message: "Idempotency-Key must occur once with 1 to 256 bytes"}
	}
	if len(values) == 1 {
		x.idempotencyKey = values[0]
	}
	return nil
}
