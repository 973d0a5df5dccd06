package etcd

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/kv"
)

type connectionKey struct{}

// gateway is a fake of the etcd gateway with a fixed response body per path.
type gateway struct {
	*httptest.Server
	mu           sync.Mutex
	responses    map[string]string // by path; "" closes the connection without a response
	requests     []string
	unresponsive map[net.Conn]bool // connections on which requests get no response
	connections  []net.Conn
	barrier      *sync.WaitGroup // if set, delays responses until all requests have arrived
}

func newGateway(t *testing.T) *gateway {
	g := &gateway{responses: map[string]string{}, unresponsive: map[net.Conn]bool{}}
	g.Server = httptest.NewUnstartedServer(g)
	g.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	g.Start()
	t.Cleanup(func() { g.CloseClientConnections(); g.Close() })
	return g
}

func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	g.mu.Lock()
	connection := r.Context().Value(connectionKey{}).(net.Conn)
	g.requests = append(g.requests, r.URL.Path+" "+string(body))
	g.connections = append(g.connections, connection)
	response, unresponsive, barrier := g.responses[r.URL.Path], g.unresponsive[connection], g.barrier
	g.mu.Unlock()
	if barrier != nil {
		barrier.Done()
		barrier.Wait()
	}
	switch {
	case unresponsive:
		<-r.Context().Done()
	case response == "":
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/v3/watch":
		_, _ = w.Write([]byte(response))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	default:
		_, _ = w.Write([]byte(response))
	}
}

// received returns the requests so far and their connections.
func (g *gateway) received() ([]string, []net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.requests), slices.Clone(g.connections)
}

// setResponse sets the response body of a path.
func (g *gateway) setResponse(path, body string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responses[path] = body
}

func encode(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

// TestCalls guards against requests that differ from the gateway's protocol and
// against wrong decoding of its responses.
func TestCalls(t *testing.T) {
	g := newGateway(t)
	c := New([]string{g.URL + "/"})
	ctx := context.Background()
	kvJSON := fmt.Sprintf(`{"key":%q,"value":%q,"mod_revision":"9","create_revision":"7","lease":"77"}`, encode("/a/b"), encode("v"))
	g.responses = map[string]string{
		"/v3/kv/range":        `{"header":{"revision":"12"},"kvs":[` + kvJSON + `],"count":"1"}`,
		"/v3/kv/txn":          `{"header":{"revision":"13"},"responses":[{"response_range":{"kvs":[` + kvJSON + `]}}]}`,
		"/v3/kv/deleterange":  `{"deleted":"1"}`,
		"/v3/lease/grant":     `{"ID":"77","TTL":"9"}`,
		"/v3/lease/keepalive": `{"result":{"ID":"77","TTL":"8"}}`,
		"/v3/lease/revoke":    `{"header":{}}`,
	}
	got, found, err := c.Get(ctx, "/a/b")
	if want := NewKeyValue("/a/b", nil, 9, 7, 77); err != nil || !found || string(got.Value()) != "v" || got.ModRevision() != want.ModRevision() || got.CreateRevision() != 7 || got.Lease() != 77 || got.Key() != want.Key() {
		t.Errorf("get: %+v %t %v", got, found, err)
	}
	if list, revision, err := c.List(ctx, "/a/"); err != nil || len(list) != 1 || revision != 12 {
		t.Errorf("list: %v %d %v", list, revision, err)
	}
	if done, current, err := c.Create(ctx, "/a/b", []byte("w"), 77); err != nil || done || string(current.Value()) != "v" {
		t.Errorf("create of an existing key: %t %+v %v", done, current, err)
	}
	g.setResponse("/v3/kv/txn", `{"header":{"revision":"14"},"succeeded":true,"responses":[{"response_put":{}}]}`)
	if done, current, err := c.Swap(ctx, "/a/b", 9, []byte("w"), 0); err != nil || !done || current.ModRevision() != 14 {
		t.Errorf("swap: %t %+v %v", done, current, err)
	}
	for _, revision := range []int64{0, 14} {
		if done, err := c.Delete(ctx, "/a/b", revision); err != nil || !done {
			t.Errorf("delete at %d: %t %v", revision, done, err)
		}
	}
	if lease, err := c.GrantLease(ctx, 8100*time.Millisecond); err != nil || lease != 77 {
		t.Errorf("grant: %d %v", lease, err)
	}
	if ttl, err := c.KeepAlive(ctx, 77); err != nil || ttl != 8*time.Second {
		t.Errorf("keepalive: %s %v", ttl, err)
	}
	g.setResponse("/v3/lease/keepalive", `{"result":{"ID":"77"}}`)
	if ttl, err := c.KeepAlive(ctx, 77); err != nil || ttl != 0 {
		t.Errorf("keepalive of an expired lease: %s %v", ttl, err)
	}
	if err := c.Revoke(ctx, 77); err != nil {
		t.Error(err)
	}
	key := encode("/a/b")
	requests, _ := g.received()
	for i, want := range []string{
		`/v3/kv/range {"key":"` + key + `"}`,
		`/v3/kv/range {"key":"` + encode("/a/") + `","range_end":"` + encode("/a0") + `"}`,
		`/v3/kv/txn {"compare":[{"key":"` + key + `","target":"CREATE","result":"EQUAL","create_revision":"0"}],"success":[{"request_put":{"key":"` + key + `","value":"dw==","lease":"77"}}],"failure":[{"request_range":{"key":"` + key + `"}}]}`,
		`/v3/kv/txn {"compare":[{"key":"` + key + `","target":"MOD","result":"EQUAL","mod_revision":"9"}],"success":[{"request_put":{"key":"` + key + `","value":"dw=="}}],"failure":[{"request_range":{"key":"` + key + `"}}]}`,
		`/v3/kv/deleterange {"key":"` + key + `"}`,
		`/v3/kv/txn {"compare":[{"key":"` + key + `","target":"MOD","result":"EQUAL","mod_revision":"14"}],"success":[{"request_delete_range":{"key":"` + key + `"}}]}`,
		`/v3/lease/grant {"ID":"0","TTL":"9"}`,
	} {
		if requests[i] != want {
			t.Errorf("request %d:\n got %s\nwant %s", i, requests[i], want)
		}
	}
	var published map[string]map[string]int64
	if err := json.Unmarshal([]byte(c.Counters().String()), &published); err != nil || published["keepalive"][countCalls] != 2 || published["get"][countReceived] == 0 {
		t.Errorf("counters: %v %v", published, err)
	}
}

// TestMarker guards against a claim that counts as the first although the marker
// exists, or although the store has lost its keys, including the marker.
func TestMarker(t *testing.T) {
	server := httptest.NewServer(kv.New(time.Second))
	defer server.Close()
	ctx, c := context.Background(), New([]string{server.URL})
	create := func(key string, want, wantFirst bool) KeyValue {
		done, first, current, err := c.CreateWithMarker(ctx, key, "/marker"+key, "/anchor", []byte("v"), 0)
		if err != nil || done != want || first != wantFirst || current.Key() != key || current.ModRevision() == 0 {
			t.Errorf("create %s: done=%t first=%t %+v %v", key, done, first, current, err)
		}
		return current
	}
	create("/no-anchor", true, false)
	if _, _, err := c.Create(ctx, "/anchor", nil, 0); err != nil {
		t.Fatal(err)
	}
	claimed := create("/a", true, true)
	create("/a", false, false)
	if marker, found, err := c.Get(ctx, "/marker/a"); err != nil || !found || marker.Lease() != 0 || marker.CreateRevision() != claimed.ModRevision() {
		t.Errorf("marker: %+v %t %v", marker, found, err)
	}
	for _, key := range []string{"/a", "/no-anchor"} {
		if _, err := c.Delete(ctx, key, 0); err != nil {
			t.Fatal(err)
		}
		create(key, true, false)
	}
	// A swap, as in a handover, writes a missing marker again.
	if _, err := c.Delete(ctx, "/marker/a", 0); err != nil {
		t.Fatal(err)
	}
	claim, _, _ := c.Get(ctx, "/a")
	if done, _, err := c.SwapWithMarker(ctx, "/a", "/marker/a", claim.ModRevision(), []byte("w"), 0); err != nil || !done {
		t.Errorf("swap: %t %v", done, err)
	}
	if _, found, err := c.Get(ctx, "/marker/a"); err != nil || !found {
		t.Errorf("marker after a swap: %t %v", found, err)
	}
	// A marker is not deleted while the claim exists, or if it has been written
	// since the given revision.
	marker, _, _ := c.Get(ctx, "/marker/a")
	for _, d := range []struct {
		revision int64
		other    string
		want     bool
	}{{marker.ModRevision(), "/a", false}, {claimed.ModRevision(), "/none", false}, {marker.ModRevision(), "/none", true}} {
		if done, err := c.DeleteUnlessExists(ctx, "/marker/a", d.revision, d.other); err != nil || done != d.want {
			t.Errorf("delete unless %+v: %t %v", d, done, err)
		}
	}
}

// TestLostResponse guards against a write that is retried, or reported as having
// had no effect, after its response was lost.
func TestLostResponse(t *testing.T) {
	g := newGateway(t)
	g.setResponse("/v3/kv/range", `{}`)
	c := New([]string{g.URL})
	if _, _, err := c.Get(context.Background(), "/k"); err != nil {
		t.Fatal(err)
	}
	contact := c.LastContact()
	// net/http might retry a request on a reused connection.
	_, _, err := c.Create(context.Background(), "/k", nil, 0)
	if requests, _ := g.received(); !errors.Is(err, ErrUnavailable) || len(requests) != 2 {
		t.Errorf("%d requests, error %v", len(requests), err)
	}
	if !c.LastContact().Equal(contact) {
		t.Error("lost response counted as contact")
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := c.Create(canceled, "/k", nil, 0); !errors.Is(err, ErrUnavailable) || !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled write: %v", err)
	}
}

// TestUnresponsiveConnection guards against calls that keep using a connection
// without responses while new connections work.
func TestUnresponsiveConnection(t *testing.T) {
	g := newGateway(t)
	g.setResponse("/v3/kv/range", `{}`)
	c := New([]string{g.URL}, WithTimeout(100*time.Millisecond))
	get := func() error {
		_, _, err := c.Get(context.Background(), "/k")
		return err
	}
	// Several idle connections become unresponsive. The barrier makes the requests
	// concurrent, so that each dials a connection and uses it.
	g.barrier = &sync.WaitGroup{}
	g.barrier.Add(3)
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { _ = get() })
	}
	group.Wait()
	g.mu.Lock()
	g.barrier = nil
	for _, connection := range g.connections {
		g.unresponsive[connection] = true
	}
	g.mu.Unlock()
	if err := get(); !errors.Is(err, ErrUnavailable) {
		t.Errorf("call on an unresponsive connection: %v", err)
	}
	if err := get(); err != nil {
		t.Errorf("call after an unresponsive connection: %v", err)
	}
}

// TestEndpoints guards against a client that keeps using an unavailable
// endpoint, and against a failure with unknown effect that is reported as a
// rejection.
func TestEndpoints(t *testing.T) {
	g := newGateway(t)
	g.setResponse("/v3/kv/range", `{}`)
	statuses := map[string]int{"/v3/kv/range": 503, "/v3/kv/txn": 400}
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(statuses[r.URL.Path]) }))
	defer failing.Close()
	c := New([]string{failing.URL, g.URL})
	if _, _, err := c.Swap(context.Background(), "/k", 1, nil, 0); !errors.Is(err, ErrRejected) || errors.Is(err, ErrUnavailable) {
		t.Errorf("status 400: %v", err)
	}
	if _, _, err := c.Get(context.Background(), "/k"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("status 503: %v", err)
	}
	if _, _, err := c.Get(context.Background(), "/k"); err != nil {
		t.Errorf("next endpoint: %v", err)
	}
}

// TestWatch guards against a watch that stays on an unresponsive connection,
// reuses one, or does not report that its revision was compacted.
func TestWatch(t *testing.T) {
	g := newGateway(t)
	c := New([]string{g.URL}, WithTimeout(200*time.Millisecond), WithWatchTimeout(100*time.Millisecond))
	created := `{"result":{"header":{"revision":"5"},"created":true}}` + "\n"
	events := fmt.Sprintf(`{"result":{"events":[{"kv":{"key":%q,"mod_revision":"6"}},{"type":"DELETE","kv":{"key":%q,"mod_revision":"7"}}]}}`, encode("/w/a"), encode("/w/a"))
	var got []string
	watch := func(body string) error {
		got = nil
		g.setResponse("/v3/watch", body)
		return c.Watch(context.Background(), "/w/", 6, func(e Event) {
			got = append(got, fmt.Sprintf("%s@%d %t", e.KeyValue().Key(), e.KeyValue().ModRevision(), e.Deleted()))
		})
	}
	if err := watch(created + events); !errors.Is(err, ErrWatchTimeout) || strings.Join(got, " ") != "/w/a@6 false /w/a@7 true" {
		t.Errorf("watch: %v %v", got, err)
	}
	if err := watch(created); !errors.Is(err, ErrWatchTimeout) {
		t.Errorf("watch without events: %v", err)
	}
	requests, used := g.received()
	if used[0] == used[1] {
		t.Error("a new watch used the connection of the one that timed out")
	}
	if err := watch(" "); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrWatchTimeout) {
		t.Errorf("watch that was never confirmed: %v", err)
	}
	if err := watch(`{"result":{"canceled":true,"compact_revision":"9"}}`); !errors.Is(err, ErrCompacted) {
		t.Errorf("compacted: %v", err)
	}
	if want := `/v3/watch {"create_request":{"key":"` + encode("/w/") + `","range_end":"` + encode("/w0") + `","start_revision":"6","progress_notify":true}}`; requests[0] != want {
		t.Errorf("request %s", requests[0])
	}
}

// TestRateLimit guards against a client that exceeds its share of the service's
// call rate, or that loses its lease because a renewal was limited.
func TestRateLimit(t *testing.T) {
	g := newGateway(t)
	g.setResponse("/v3/kv/range", `{}`)
	g.setResponse("/v3/lease/keepalive", `{"result":{"TTL":"9"}}`)
	c := New([]string{g.URL}, WithRateLimit(1, 2, 0))
	var limited int
	for range 5 {
		if _, _, err := c.Get(context.Background(), "/k"); errors.Is(err, ErrRateLimited) && !errors.Is(err, ErrUnavailable) {
			limited++
		}
	}
	if limited != 3 || c.Counters().Calls("get") != 2 {
		t.Errorf("%d limited, %d sent", limited, c.Counters().Calls("get"))
	}
	for range 3 {
		if _, err := c.KeepAlive(context.Background(), 1); err != nil {
			t.Error(err)
		}
	}
	limiter := newRateLimiter(10, time.Second)
	start := time.Unix(0, 0)
	for i := range 25 {
		wait, ok := limiter.reserve(start, false)
		if want := max(0, time.Duration(i-9)*100*time.Millisecond); ok != (i < 20) || ok && (wait-want).Abs() > time.Millisecond {
			t.Errorf("call %d waits %s %t, expected %s", i, wait, ok, want)
		}
	}
	if wait, ok := limiter.reserve(start.Add(3*time.Second), false); !ok || wait != 0 {
		t.Errorf("limiter did not refill: %s %t", wait, ok)
	}
}

// TestRevision guards against a kind of call that is missing from callKinds,
// which made the process panic, and against a request that also reads the value.
func TestRevision(t *testing.T) {
	var request string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		request = string(body)
		_, _ = io.WriteString(w, `{"header":{"revision":"9"},"kvs":[{"key":"aw==","mod_revision":"7"}]}`)
	}))
	defer server.Close()
	revision, err := New([]string{server.URL}).Revision(t.Context(), "k")
	if err != nil || revision != 7 {
		t.Fatalf("revision %d, error %v, want 7", revision, err)
	}
	if !strings.Contains(request, `"keys_only":true`) {
		t.Fatalf("request %s, want keys_only", request)
	}
}
