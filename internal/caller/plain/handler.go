package plain

import (
	"context"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/idempotency"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

const (
	// defaultMaxBody is the maximum request body size in bytes. Bodies are held
	// in memory, since their hash identifies the call.
	defaultMaxBody = 1 << 20
	// defaultMaxAttempts limits the number of hosts that one request can try.
	defaultMaxAttempts = 3
	// defaultCallTimeout limits the duration of a call with an idempotency key,
	// which continues after its caller disconnects so that the response can be
	// recorded.
	defaultCallTimeout = 2 * time.Minute
	// defaultWriteTimeout limits how long one write of the response may block
	// once the socket buffers are full.
	defaultWriteTimeout = 10 * time.Second
	// defaultBodyReadTimeout limits how long a caller may take to send the body.
	defaultBodyReadTimeout = 30 * time.Second
	// maxIdempotencyKey is the maximum length of the Idempotency-Key header in
	// bytes.
	maxIdempotencyKey = 256
	pathPrefix        = "/services/"
)

// ServiceClient sends calls to plain services.
type ServiceClient interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Response, error)
}

// IdempotencyRecords records calls with an idempotency key. Begin returns either
// the right to send the call or the recorded response of an earlier call.
type IdempotencyRecords interface {
	Begin(ctx context.Context, now time.Time, c idempotency.Call) (*idempotency.Attempt, *idempotency.Response, error)
}

// Handler serves /services/{service}/. It is safe for concurrent use.
type Handler struct {
	admission       admission.Admission
	services        ServiceClient
	records         IdempotencyRecords
	keys            admission.KeyResolver
	observer        admission.Observer
	now             func() time.Time
	maxBody         func(workspace string) int64
	maxAttempts     int
	callTimeout     time.Duration
	writeTimeout    time.Duration
	bodyReadTimeout time.Duration
	// shedder is nil if all calls are sent.
	shedder *loadShedder
}

// Option changes a default of a Handler.
type Option func(h *Handler)

// WithMaxBody sets the function that returns the maximum body size of a
// workspace in bytes; 0 or less means the default of 1 MiB.
func WithMaxBody(f func(workspace string) int64) Option { return func(h *Handler) { h.maxBody = f } }

// WithMaxAttempts sets the maximum number of attempts of a request that can be
// retried.
func WithMaxAttempts(n int) Option { return func(h *Handler) { h.maxAttempts = n } }

// WithCallTimeout sets the maximum duration of a call with an idempotency key.
func WithCallTimeout(d time.Duration) Option { return func(h *Handler) { h.callTimeout = d } }

// WithWriteTimeout sets the maximum time that one write to the caller may block.
func WithWriteTimeout(d time.Duration) Option { return func(h *Handler) { h.writeTimeout = d } }

// WithBodyReadTimeout sets the maximum time that a caller may take to send the
// body.
func WithBodyReadTimeout(d time.Duration) Option { return func(h *Handler) { h.bodyReadTimeout = d } }

// WithClock sets the clock that is used for the idempotency records.
func WithClock(now func() time.Time) Option { return func(h *Handler) { h.now = now } }

// New returns a handler for /services/{service}/.
func New(admitter admission.Admission, services ServiceClient, records IdempotencyRecords, keys admission.KeyResolver, observer admission.Observer, options ...Option) *Handler {
	h := &Handler{
		admission: admitter, services: services, records: records, keys: keys, observer: observer,
		now:             time.Now,
		maxBody:         func(string) int64 { return 0 },
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

// ServeHTTP handles one request and reports its summary to the observer. If the
// response fails after its header was sent, it aborts the response, since HTTP has no
// other way to report the failure.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(h, w, r)
	// Clears a write deadline left by the previous response on this connection,
	// which would fail the writes of this one.
	_ = x.control.SetWriteDeadline(time.Time{})
	err := x.validate()
	if err == nil {
		err = x.serve()
	}
	x.finish(err)
	if err != nil && x.headerSent {
		httpapi.AbortResponse(w, r)
	}
}

var serviceNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// unsupportedMethods are the methods that are not forwarded: CONNECT opens a
// tunnel, and TRACE echoes the request including its credentials.
var unsupportedMethods = map[string]bool{http.MethodConnect: true, http.MethodTrace: true}

// validate checks the request line and the headers, and sets the service, the
// path, the workspace, the class and the idempotency key.
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
	if httpapi.HeaderSize(x.r.Header) > httpapi.MaxHeaderBytes {
		return &requestError{status: http.StatusRequestHeaderFieldsTooLarge, message: "the header is too large"}
	}
	workspace, ok := x.handler.keys.Workspace(httpapi.BearerKey(x.r.Header))
	if !ok {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		return &requestError{status: http.StatusUnauthorized, message: "the bearer key is missing or not valid"}
	}
	x.summary.Workspace, x.summary.Class = workspace, x.r.Header.Get("Hemlock-Class")
	if !httpapi.ValidClass(x.summary.Class) {
		return &requestError{status: http.StatusBadRequest, message: "the class is not known"}
	}
	return x.readIdempotencyKey()
}

// hasDotSegment reports whether a path has a "." or ".." segment. The service
// would resolve such a path to another one than was validated here.
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
