package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/once"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/pool"
)

// memory is a store without faults.
type memory struct {
	mu       sync.Mutex
	entries  map[string]once.KeyValue
	revision int64
	down     bool
}

var errDown = errors.New("store is down")

func (m *memory) Get(_ context.Context, key string) (once.KeyValue, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.entries[key]
	return kv, ok, m.err()
}

func (m *memory) err() error {
	if m.down {
		return errDown
	}
	return nil
}

func (m *memory) Create(ctx context.Context, key string, value []byte, lease int64) (bool, once.KeyValue, error) {
	return m.Swap(ctx, key, 0, value, lease)
}

func (m *memory) Swap(_ context.Context, key string, revision int64, value []byte, _ int64) (bool, once.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.entries[key]; m.down || current.ModRevision != revision {
		return false, current, m.err()
	}
	m.revision++
	kv := once.KeyValue{Value: value, ModRevision: m.revision}
	m.entries[key] = kv
	return true, kv, nil
}

func (m *memory) GrantLease(context.Context, time.Duration) (int64, error) { return 1, m.err() }

// fleet grants the services in turn and collects the events.
type fleet struct {
	addresses []string
	trust     bool
	events    chan admission.RequestSummary
}

type grant struct {
	fleet   *fleet
	address string
}

func (g *grant) Attempt() uint32                         { return 1 }
func (g *grant) UpstreamID() string                      { return g.address }
func (g *grant) Address() string                         { return g.address }
func (g *grant) Priority() int                           { return 7 }
func (g *grant) Resume() bool                            { return false }
func (g *grant) TrustNotRun() bool                       { return g.fleet.trust }
func (g *grant) Release(admission.Report)                {}
func (f *fleet) RequestEnded(e admission.RequestSummary) { f.events <- e }
func (f *fleet) Workspace(k string) (string, bool)       { return "loom", k == "key" }

func (f *fleet) Acquire(_ context.Context, a admission.Request) (admission.Grant, error) {
	if len(a.Exclude) >= len(f.addresses) {
		return nil, verdict.New(verdict.NotRun, errors.New("all hosts are full")).WithStatus(http.StatusTooManyRequests)
	}
	return &grant{fleet: f, address: f.addresses[len(a.Exclude)]}, nil
}

// world is a handler before one service, after the given unreachable hosts.
type world struct {
	*fleet
	store  *memory
	server *httptest.Server
	ran    atomic.Int64 // requests that reached the service
}

func start(t *testing.T, service http.HandlerFunc, unreachable ...string) *world {
	t.Helper()
	w := &world{store: &memory{entries: map[string]once.KeyValue{}}}
	host := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.ran.Add(1)
		service(rw, r)
	}))
	t.Cleanup(host.Close)
	w.fleet = &fleet{addresses: append(unreachable, host.Listener.Addr().String()), events: make(chan admission.RequestSummary, 16)}
	client := upstream.New(pool.New(), upstream.WithReadTimeout(300*time.Millisecond), upstream.WithHeaderTimeout(300*time.Millisecond))
	w.server = httptest.NewServer(New(w.fleet, client, once.New(w.store), w.fleet, w.fleet))
	t.Cleanup(w.server.Close)
	return w
}

func (w *world) call(t *testing.T, method, key, body string) (status int, executed, text string) {
	t.Helper()
	req, err := http.NewRequest(method, w.server.URL+"/services/orderdesk/orders?x=1", strings.NewReader(body))
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

func created(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, r.URL.RequestURI()+" "+string(body))
}

// TestRepeatedKey guards against a second execution of a call whose key was
// used before, and against a changed response to the repeat.
func TestRepeatedKey(t *testing.T) {
	w := start(t, created)
	for range 2 {
		status, executed, text := w.call(t, http.MethodPost, "k1", "order")
		if status != http.StatusCreated || executed != "yes" || text != "/orders?x=1 order" {
			t.Fatal(status, executed, text)
		}
	}
	if status, executed, _ := w.call(t, http.MethodPost, "k1", "other"); status != http.StatusUnprocessableEntity || executed != "no" {
		t.Error(status, executed)
	}
	if w.ran.Load() != 1 {
		t.Errorf("executed %d times", w.ran.Load())
	}
}

// TestFailures runs each failure that a call meets and guards against a second
// execution and an untrue verdict. Each call is made twice, with one key.
func TestFailures(t *testing.T) {
	var calls atomic.Int64
	firstFails := func(fail http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				fail(w, r)
				return
			}
			created(w, r)
		}
	}
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "cut")
		panic(http.ErrAbortHandler)
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verdict.Header, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	large := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", once.MaxBodySize+1))
	}
	unreachable := []string{"127.0.0.1:1"}
	for _, c := range []struct {
		failure       string
		method, key   string
		service       http.HandlerFunc
		hosts         []string
		trust, down   bool
		first, second string
		ran           int64
	}{
		{"host unreachable, GET", "GET", "", created, unreachable, false, false, "201 yes", "201 yes", 2},
		{"host unreachable, POST with key", "POST", "k", created, unreachable, false, false, "201 yes", "201 yes", 1},
		{"host unreachable, POST without key", "POST", "", created, unreachable, false, false, "503 no", "503 no", 0},
		{"reset, GET", "GET", "", firstFails(reset), nil, false, false, "502 unknown", "201 yes", 2},
		{"reset, POST with key", "POST", "k", firstFails(reset), nil, false, false, "502 unknown", "409 unknown", 1},
		{"reset, POST without key", "POST", "", firstFails(reset), nil, false, false, "502 unknown", "201 yes", 2},
		{"response cut, POST with key", "POST", "k", firstFails(cut), nil, false, false, "502 unknown", "409 unknown", 1},
		{"refused, trusted", "POST", "k", firstFails(refuse), nil, true, false, "429 no", "201 yes", 2},
		{"refused, not trusted", "POST", "k", firstFails(refuse), nil, false, false, "502 unknown", "409 unknown", 1},
		{"refused, not trusted, GET", "GET", "", firstFails(refuse), nil, false, false, "502 unknown", "201 yes", 2},
		{"store down", "POST", "k", created, nil, false, true, "503 no", "503 no", 0},
		{"response too large to record", "POST", "k", large, nil, false, false, "200 yes", "409 yes", 1},
	} {
		t.Run(c.failure, func(t *testing.T) {
			calls.Store(0)
			w := start(t, c.service, c.hosts...)
			w.trust, w.store.down = c.trust, c.down
			for _, want := range []string{c.first, c.second} {
				status, executed, _ := w.call(t, c.method, c.key, "order")
				if got := fmt.Sprintf("%d %s", status, executed); got != want {
					t.Errorf("got %s, expected %s", got, want)
				}
				if e := <-w.events; fmt.Sprintf("%d %v", e.Status, e.Verdict) != want {
					t.Errorf("event %+v", e)
				}
			}
			if w.ran.Load() != c.ran {
				t.Errorf("executed %d times, expected %d", w.ran.Load(), c.ran)
			}
		})
	}
}

// TestPaused guards against a call that is sent long after its record.
func TestPaused(t *testing.T) {
	w := start(t, created)
	now := time.Now()
	clock := func() time.Time {
		now = now.Add(11 * time.Second)
		return now
	}
	paused := httptest.NewServer(New(w.fleet, upstream.New(pool.New()), once.New(w.store), w.fleet, w.fleet, WithClock(clock)))
	t.Cleanup(paused.Close)
	running := w.server
	w.server = paused
	if status, executed, _ := w.call(t, http.MethodPost, "k", "order"); status != http.StatusServiceUnavailable || executed != "no" || w.ran.Load() != 0 {
		t.Errorf("%d %s, executed %d times", status, executed, w.ran.Load())
	}
	w.server = running
	if status, executed, _ := w.call(t, http.MethodPost, "k", "order"); status != http.StatusCreated || executed != "yes" || w.ran.Load() != 1 {
		t.Errorf("repeat: %d %s, executed %d times", status, executed, w.ran.Load())
	}
}

// TestCutBody guards against a response that was cut after its header and
// looks complete to the caller.
func TestCutBody(t *testing.T) {
	w := start(t, func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(rw, "part")
		_ = http.NewResponseController(rw).Flush()
		<-r.Context().Done() // silent
	})
	req, _ := http.NewRequest(http.MethodGet, w.server.URL+"/services/orderdesk/list", nil)
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

// TestGoneCaller guards against an outcome that is lost with the caller: the
// call with a key goes on, and a repeat gets the recorded response.
func TestGoneCaller(t *testing.T) {
	reached, leave := make(chan struct{}), make(chan struct{})
	w := start(t, func(rw http.ResponseWriter, r *http.Request) {
		close(reached)
		<-leave
		created(rw, r)
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+"/services/orderdesk/orders?x=1", strings.NewReader("order"))
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Idempotency-Key", "k")
	gone := make(chan error)
	go func() {
		_, err := http.DefaultClient.Do(req)
		gone <- err
	}()
	<-reached
	cancel()
	<-gone
	close(leave)
	<-w.events
	if status, executed, text := w.call(t, http.MethodPost, "k", "order"); status != http.StatusCreated || executed != "yes" || text != "/orders?x=1 order" || w.ran.Load() != 1 {
		t.Errorf("%d %s %q, executed %d times", status, executed, text, w.ran.Load())
	}
}

// TestRejections guards against work done for a request that is rejected.
func TestRejections(t *testing.T) {
	w := start(t, created)
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
		req, err := http.NewRequest(c.method, w.server.URL+c.path, strings.NewReader(c.body))
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
		if resp.StatusCode != c.status || resp.Header.Get(verdict.Header) != "no" || w.ran.Load() > 0 || len(w.store.entries) > 0 {
			t.Errorf("%s %s: %d %v", c.method, c.path, resp.StatusCode, resp.Header)
		}
	}
}

// TestBudget guards against memory that grows with the number of large bodies,
// with and without a stated length, and against a budget that is not given back.
func TestBudget(t *testing.T) {
	reached, leave := make(chan struct{}), make(chan struct{})
	w := start(t, func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			close(reached)
			<-leave
		}
		created(rw, r)
	})
	limited := httptest.NewServer(New(w.fleet, upstream.New(pool.New()), once.New(w.store), w.fleet, w.fleet, WithBodyBudget(100)))
	t.Cleanup(limited.Close)
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
	large := strings.Repeat("x", 80)
	first := make(chan string)
	go func() { first <- send(http.MethodPut, strings.NewReader(large)) }()
	<-reached
	got := []string{
		send(http.MethodPost, strings.NewReader(large)), send(http.MethodPost, io.MultiReader(strings.NewReader(large))),
		send(http.MethodPost, strings.NewReader("small")),
	}
	close(leave)
	got = append(got, <-first)
	for range 4 { // a request gives back its part before its event
		<-w.events
	}
	got = append(got, send(http.MethodPost, strings.NewReader(large)))
	if want := []string{"503 no 1", "503 no 1", "201 yes ", "201 yes ", "201 yes "}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}
