package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpserver"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/idempotency"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// memoryStore is an in-memory store. It fails only while down is set.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[string]idempotency.KeyValue
	revision int64
	down     bool
}

var errStoreDown = errors.New("store is down")

func (m *memoryStore) Get(_ context.Context, key string) (idempotency.KeyValue, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.entries[key]
	return kv, ok, m.err()
}

func (m *memoryStore) err() error {
	if m.down {
		return errStoreDown
	}
	return nil
}

func (m *memoryStore) Create(ctx context.Context, key string, value []byte, lease int64) (bool, idempotency.KeyValue, error) {
	return m.Swap(ctx, key, 0, value, lease)
}

func (m *memoryStore) Swap(_ context.Context, key string, revision int64, value []byte, _ int64) (bool, idempotency.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.entries[key]; m.down || current.ModRevision != revision {
		return false, current, m.err()
	}
	m.revision++
	kv := idempotency.KeyValue{Value: value, ModRevision: m.revision}
	m.entries[key] = kv
	return true, kv, nil
}

func (m *memoryStore) GrantLease(context.Context, time.Duration) (int64, error) { return 1, m.err() }

// fakeDependencies implements admission, keys and observer of a Handler. It
// grants the addresses in order, one per attempt.
type fakeDependencies struct {
	addresses   []string
	trustNotRun bool
	summaries   chan admission.RequestSummary
}

type fakeGrant struct {
	deps    *fakeDependencies
	address string
}

func (g *fakeGrant) Attempt() uint32                                      { return 1 }
func (g *fakeGrant) UpstreamID() string                                   { return g.address }
func (g *fakeGrant) Address() string                                      { return g.address }
func (g *fakeGrant) Priority() int                                        { return 7 }
func (g *fakeGrant) Resumable() bool                                      { return false }
func (g *fakeGrant) TrustNotRun() bool                                    { return g.deps.trustNotRun }
func (g *fakeGrant) Release(admission.Report)                             {}
func (f *fakeDependencies) RequestEnded(summary admission.RequestSummary) { f.summaries <- summary }
func (f *fakeDependencies) Workspace(k string) (string, bool)             { return "loom", k == "key" }

func (f *fakeDependencies) Acquire(_ context.Context, r admission.Request) (admission.Grant, error) {
	if len(r.Exclude) >= len(f.addresses) {
		return nil, verdict.New(verdict.NotRun, errors.New("all hosts are full")).WithStatus(http.StatusTooManyRequests)
	}
	return &fakeGrant{deps: f, address: f.addresses[len(r.Exclude)]}, nil
}

// testEnv is a handler in front of one service.
type testEnv struct {
	*fakeDependencies
	store      *memoryStore
	server     *httptest.Server
	executions atomic.Int64 // requests that reached the service
}

// startEnv starts a handler and a service. Admission grants the unreachable
// addresses before the service.
func startEnv(t *testing.T, service http.HandlerFunc, unreachable ...string) *testEnv {
	t.Helper()
	return startEnvWith(t, service, unreachable)
}

// startEnvWith starts a handler with options and a service.
func startEnvWith(t *testing.T, service http.HandlerFunc, unreachable []string, options ...Option) *testEnv {
	t.Helper()
	env := &testEnv{store: &memoryStore{entries: map[string]idempotency.KeyValue{}}}
	serviceServer := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		env.executions.Add(1)
		service(rw, r)
	}))
	t.Cleanup(serviceServer.Close)
	env.fakeDependencies = &fakeDependencies{addresses: append(unreachable, serviceServer.Listener.Addr().String()), summaries: make(chan admission.RequestSummary, 16)}
	client := upstream.New(transport.New(), upstream.WithReadTimeout(300*time.Millisecond), upstream.WithHeaderTimeout(300*time.Millisecond))
	env.server = httptest.NewServer(New(env.fakeDependencies, client, idempotency.New(env.store), env.fakeDependencies, env.fakeDependencies, options...))
	t.Cleanup(env.server.Close)
	return env
}

func (e *testEnv) sendCall(t *testing.T, method, key, body string) (status int, executed, text string) {
	t.Helper()
	req, err := http.NewRequest(method, e.server.URL+"/services/orderdesk/orders?x=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(verdict.Header), string(b)
}

func respondCreated(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, r.URL.RequestURI()+" "+string(body))
}

// TestRepeatedKey guards against executing a call again when its key is reused,
// and against a different response to the retry.
func TestRepeatedKey(t *testing.T) {
	env := startEnv(t, respondCreated)
	for range 2 {
		status, executed, text := env.sendCall(t, http.MethodPost, "k1", "order")
		if status != http.StatusCreated || executed != "yes" || text != "/orders?x=1 order" {
			t.Fatal(status, executed, text)
		}
	}
	if status, executed, _ := env.sendCall(t, http.MethodPost, "k1", "other"); status != http.StatusUnprocessableEntity || executed != "no" {
		t.Error(status, executed)
	}
	if env.executions.Load() != 1 {
		t.Errorf("executed %d times", env.executions.Load())
	}
}

// TestFailures guards against a second execution and a wrong verdict under each
// failure of host, service and store. Each call is made twice with the same key.
func TestFailures(t *testing.T) {
	var calls atomic.Int64
	firstFails := func(fail http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				fail(w, r)
				return
			}
			respondCreated(w, r)
		}
	}
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "cut")
		panic(http.ErrAbortHandler)
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verdict.Header, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	answer := func(status int) http.HandlerFunc {
		return firstFails(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
	}
	respondLarge := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", idempotency.MaxBodySize+1))
	}
	unreachable := []string{"127.0.0.1:1"}
	for _, c := range []struct {
		failure                string
		method, key            string
		service                http.HandlerFunc
		unreachable            []string
		trustNotRun, storeDown bool
		first, second          string
		executions             int64
	}{
		{"host unreachable, GET", "GET", "", respondCreated, unreachable, false, false, "201 yes", "201 yes", 2},
		{"host unreachable, POST with key", "POST", "k", respondCreated, unreachable, false, false, "201 yes", "201 yes", 1},
		{"host unreachable, POST without key", "POST", "", respondCreated, unreachable, false, false, "503 no", "503 no", 0},
		{"reset, GET", "GET", "", firstFails(reset), nil, false, false, "502 unknown", "201 yes", 2},
		{"reset, POST with key", "POST", "k", firstFails(reset), nil, false, false, "502 unknown", "409 unknown", 1},
		{"reset, POST without key", "POST", "", firstFails(reset), nil, false, false, "502 unknown", "201 yes", 2},
		{"truncated response, POST with key", "POST", "k", firstFails(truncate), nil, false, false, "502 unknown", "409 unknown", 1},
		{"refused, trusted", "POST", "k", firstFails(refuse), nil, true, false, "429 no", "201 yes", 2},
		{"refused, not trusted", "POST", "k", firstFails(refuse), nil, false, false, "502 unknown", "409 unknown", 1},
		{"refused, not trusted, GET", "GET", "", firstFails(refuse), nil, false, false, "502 unknown", "201 yes", 2},
		{"503 without a verdict", "POST", "", answer(http.StatusServiceUnavailable), nil, true, false, "502 unknown", "201 yes", 2},
		{"408 without a verdict", "POST", "", answer(http.StatusRequestTimeout), nil, true, false, "502 unknown", "201 yes", 2},
		{"421 without a verdict, POST with key", "POST", "k", answer(http.StatusMisdirectedRequest), nil, true, false, "502 unknown", "409 unknown", 1},
		{"store down", "POST", "k", respondCreated, nil, false, true, "503 no", "503 no", 0},
		{"response too large to record", "POST", "k", respondLarge, nil, false, false, "200 yes", "409 yes", 1},
	} {
		t.Run(c.failure, func(t *testing.T) {
			calls.Store(0)
			env := startEnv(t, c.service, c.unreachable...)
			env.trustNotRun, env.store.down = c.trustNotRun, c.storeDown
			for _, want := range []string{c.first, c.second} {
				status, executed, _ := env.sendCall(t, c.method, c.key, "order")
				if got := fmt.Sprintf("%d %s", status, executed); got != want {
					t.Errorf("got %s, expected %s", got, want)
				}
				if summary := <-env.summaries; fmt.Sprintf("%d %v", summary.Status, summary.Verdict) != want {
					t.Errorf("summary %+v", summary)
				}
			}
			if env.executions.Load() != c.executions {
				t.Errorf("executed %d times, expected %d", env.executions.Load(), c.executions)
			}
		})
	}
}

// TestPauseBeforeSend guards against sending a call long after its idempotency
// record was created. A retry without the pause must execute the call.
func TestPauseBeforeSend(t *testing.T) {
	env := startEnv(t, respondCreated)
	now := time.Now()
	clock := func() time.Time {
		now = now.Add(11 * time.Second)
		return now
	}
	paused := httptest.NewServer(New(env.fakeDependencies, upstream.New(transport.New()), idempotency.New(env.store), env.fakeDependencies, env.fakeDependencies, WithClock(clock)))
	t.Cleanup(paused.Close)
	running := env.server
	env.server = paused
	if status, executed, _ := env.sendCall(t, http.MethodPost, "k", "order"); status != http.StatusServiceUnavailable || executed != "no" || env.executions.Load() != 0 {
		t.Errorf("%d %s, executed %d times", status, executed, env.executions.Load())
	}
	env.server = running
	if status, executed, _ := env.sendCall(t, http.MethodPost, "k", "order"); status != http.StatusCreated || executed != "yes" || env.executions.Load() != 1 {
		t.Errorf("retry: %d %s, executed %d times", status, executed, env.executions.Load())
	}
}

// TestTruncatedBody guards against a response that ends early after its header and
// looks complete to the caller.
func TestTruncatedBody(t *testing.T) {
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, "part")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done() // sends nothing more
	})
	req, _ := http.NewRequest(http.MethodGet, env.server.URL+"/services/orderdesk/list", nil)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err == nil || string(text) != "part" {
		t.Errorf("%q, error %v", text, err)
	}
}

// TestTruncatedBodyHTTP10 guards against an incomplete response that looks complete to a
// caller with HTTP/1.0, whose responses end with the connection.
func TestTruncatedBodyHTTP10(t *testing.T) {
	for _, complete := range []bool{true, false} {
		env := startEnv(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			if !complete {
				panic(http.ErrAbortHandler)
			}
		})
		conn, err := net.Dial("tcp4", env.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET /services/orderdesk/orders HTTP/1.0\r\nAuthorization: Bearer key\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(conn)
		if (err == nil) != complete || complete && !strings.HasSuffix(string(text), "part") {
			t.Errorf("complete %t: %v, %q", complete, err, text)
		}
	}
}

// TestCallerDisconnect guards against losing the outcome of a call with an
// idempotency key when its caller disconnects: the call must continue, and a
// retry must get the recorded response.
func TestCallerDisconnect(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request) {
		close(reached)
		<-release
		respondCreated(rw, r)
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, env.server.URL+"/services/orderdesk/orders?x=1", strings.NewReader("order"))
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Idempotency-Key", "k")
	callerDone := make(chan error)
	go func() {
		_, err := http.DefaultClient.Do(req)
		callerDone <- err
	}()
	<-reached
	cancel()
	<-callerDone
	close(release)
	<-env.summaries
	if status, executed, text := env.sendCall(t, http.MethodPost, "k", "order"); status != http.StatusCreated || executed != "yes" || text != "/orders?x=1 order" || env.executions.Load() != 1 {
		t.Errorf("%d %s %q, executed %d times", status, executed, text, env.executions.Load())
	}
}

// TestRejections guards against executing or recording an invalid request.
func TestRejections(t *testing.T) {
	env := startEnv(t, respondCreated)
	for _, c := range []struct {
		method, path, key, body string
		status                  int
	}{
		{"POST", "/services/orderdesk", "", "", 404},
		{"POST", "/services/a%2Fb/x", "", "", 404},
		{"POST", "/services/orderdesk/a/%2e%2e/b", "", "", 404},
		{"TRACE", "/services/orderdesk/x", "", "", 405},
		{"POST", "/services/orderdesk/x", strings.Repeat("k", 257), "", 400},
		{"POST", "/services/orderdesk/x", "k", strings.Repeat("b", defaultMaxBody+1), 413},
	} {
		req, err := http.NewRequest(c.method, env.server.URL+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key")
		if c.key != "" {
			req.Header.Set("Idempotency-Key", c.key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.status || resp.Header.Get(verdict.Header) != "no" || env.executions.Load() > 0 || len(env.store.entries) > 0 {
			t.Errorf("%s %s: %d %v", c.method, c.path, resp.StatusCode, resp.Header)
		}
	}
}

// startLimited starts a server whose callers have a budget in bytes.
func startLimited(t *testing.T, h http.Handler, budget int64) *httptest.Server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := httpserver.NewGate(intake.New(intake.Limits{Bytes: budget, Connections: 100}, log), func() httpserver.HeadLimits { return httpserver.HeadLimits{} })
	l, err := gate.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	s.Listener = l
	gate.Attach(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// TestBodyBudget guards against memory that grows with the number of large bodies,
// with and without a Content-Length, and against budget that is not released when
// a request ends.
func TestBodyBudget(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	env := startEnv(t, func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			close(reached)
			<-release
		}
		respondCreated(rw, r)
	})
	limited := startLimited(t, New(env.fakeDependencies, upstream.New(transport.New()), idempotency.New(env.store), env.fakeDependencies, env.fakeDependencies), 1000<<10)
	send := func(method string, body io.Reader) string {
		req, _ := http.NewRequest(method, limited.URL+"/services/orderdesk/orders", body)
		req.Header.Set("Authorization", "Bearer key")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(verdict.Header), " ", resp.Header.Get("Retry-After"))
	}
	// Three quarters of the budget are for bodies, and a body is held twice while its
	// buffer grows.
	large := strings.Repeat("x", 300<<10)
	firstResult := make(chan string)
	go func() { firstResult <- send(http.MethodPut, strings.NewReader(large)) }()
	<-reached
	got := []string{
		send(http.MethodPost, strings.NewReader(large)), send(http.MethodPost, io.MultiReader(strings.NewReader(large))),
		send(http.MethodPost, strings.NewReader("small")),
	}
	close(release)
	got = append(got, <-firstResult)
	for range 4 { // a request releases its budget before it reports its summary
		<-env.summaries
	}
	got = append(got, send(http.MethodPost, strings.NewReader(large)))
	if want := []string{"503 no 1", "503 no 1", "201 yes ", "201 yes ", "201 yes "}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}
