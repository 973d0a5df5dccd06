package engine

import (
	"context"
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

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// fakeEngine is an engine that runs one list of steps for each request.
type fakeEngine struct {
	*httptest.Server
	mu             sync.Mutex
	requestHeaders []http.Header
	cancels        chan string
}

// handlerStep is one step in the handling of a request.
type handlerStep func(w http.ResponseWriter, r *http.Request)

// sendChunks sends chunks, given as "sequence=data", and flushes.
func sendChunks(chunks ...string) handlerStep {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, c := range chunks {
			id, data, _ := strings.Cut(c, "=")
			_, _ = fmt.Fprintf(w, "id: 1:%s\ndata: %s\n\n", id, data)
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func setBootID(id string) handlerStep {
	return func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Engine-Boot", id) }
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// waitForDisconnect sends nothing more until the client disconnects.
func waitForDisconnect(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// sendHeartbeats sends heartbeats until the client disconnects.
func sendHeartbeats(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, ": heartbeat\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

func flush(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }

func respondError(code int, executed string) handlerStep {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verdict.Header, executed)
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(code)
		_, _ = io.WriteString(w, `{"error":{"message":"no room"}}`)
	}
}

func newFakeEngine(t testing.TB, requests ...[]handlerStep) *fakeEngine {
	f := &fakeEngine{cancels: make(chan string, 16)}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/cancel", func(_ http.ResponseWriter, r *http.Request) {
		var body map[string]string
		_ = json.NewDecoder(r.Body).Decode(&body)
		f.cancels <- body["request_id"]
	})
	mux.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.requestHeaders = append(f.requestHeaders, r.Header)
		steps := requests[min(len(f.requestHeaders), len(requests))-1]
		f.mu.Unlock()
		for _, s := range steps {
			s(w, r)
		}
	})
	f.Server = httptest.NewServer(mux)
	t.Cleanup(f.Close)
	return f
}

// headers returns the headers of the requests so far.
func (f *fakeEngine) headers() []http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requestHeaders)
}

func (f *fakeEngine) call() Call {
	return Call{Address: f.Listener.Addr().String(), RequestID: "r1", Attempt: 1, Priority: "0", Body: []byte("{}")}
}

// TestStream runs each failure of an engine or a connection and checks the
// delivered chunks, the verdict, the status, and whether the request was cancelled
// at the engine.
func TestStream(t *testing.T) {
	const readTimeout = 200 * time.Millisecond
	whole := []handlerStep{sendChunks("1=a", "2=b", "3=[DONE]")}
	for _, c := range []struct {
		failure   string
		requests  [][]handlerStep
		resume    bool
		got       string
		err       error
		verdict   verdict.Verdict
		status    int
		cancelled bool
		resumes   int
	}{
		{failure: "none", requests: [][]handlerStep{whole}, got: "ab", verdict: verdict.Ran},
		{failure: "killed, resumable", resume: true, got: "ab", verdict: verdict.Ran, resumes: 1, requests: [][]handlerStep{{setBootID("x"), sendChunks("1=a"), resetConnection}, {setBootID("x"), sendChunks("2=b", "3=[DONE]")}}},
		{failure: "killed, not resumable", got: "a", err: io.ErrUnexpectedEOF, verdict: verdict.Ran, status: 502, cancelled: true, requests: [][]handlerStep{{sendChunks("1=a"), resetConnection}}},
		{failure: "killed before a chunk", resume: true, err: io.EOF, verdict: verdict.Unknown, status: 502, cancelled: true, requests: [][]handlerStep{{resetConnection}}},
		{failure: "killed on each resume", resume: true, got: "a", err: io.EOF, verdict: verdict.Ran, status: 502, cancelled: true, resumes: 3, requests: [][]handlerStep{{sendChunks("1=a"), resetConnection}, {resetConnection}}},
		{failure: "restarted", resume: true, got: "a", err: ErrRestarted, verdict: verdict.Ran, status: 502, cancelled: true, resumes: 1, requests: [][]handlerStep{{setBootID("x"), sendChunks("1=a"), resetConnection}, {setBootID("y"), sendChunks("2=b", "3=[DONE]")}}},
		{failure: "restarted without a boot ID", resume: true, got: "a", err: ErrRestarted, verdict: verdict.Ran, status: 502, cancelled: true, resumes: 1, requests: [][]handlerStep{{sendChunks("1=a"), resetConnection}, whole}},
		{failure: "forgot the stream", resume: true, got: "a", err: &StatusError{}, verdict: verdict.Ran, status: 502, resumes: 1, requests: [][]handlerStep{{sendChunks("1=a"), resetConnection}, {respondError(404, "")}}},
		{failure: "ended without [DONE]", got: "a", err: ErrTruncated, verdict: verdict.Ran, status: 502, cancelled: true, requests: [][]handlerStep{{sendChunks("1=a")}}},
		{failure: "[DONE] after a gap", got: "a", err: ErrTruncated, verdict: verdict.Ran, status: 502, cancelled: true, requests: [][]handlerStep{{sendChunks("1=a", "3=[DONE]")}}},
		{failure: "gap, engine alive", got: "a", err: ErrGap, verdict: verdict.Ran, status: 504, cancelled: true, requests: [][]handlerStep{{sendChunks("1=a", "3=c"), sendHeartbeats}}},
		{failure: "gap, resumable", resume: true, got: "abc", verdict: verdict.Ran, resumes: 1, requests: [][]handlerStep{{sendChunks("1=a", "3=c"), sendHeartbeats}, {sendChunks("2=b", "3=c", "4=[DONE]")}}},
		{failure: "silent before the header", err: ErrTimeout, verdict: verdict.Unknown, status: 504, cancelled: true, requests: [][]handlerStep{{waitForDisconnect}}},
		{failure: "silent in the stream", got: "a", err: ErrTimeout, verdict: verdict.Ran, status: 504, cancelled: true, requests: [][]handlerStep{{sendChunks("1=a"), waitForDisconnect}}},
		{failure: "silent, resumable", resume: true, got: "ab", verdict: verdict.Ran, resumes: 1, requests: [][]handlerStep{{sendChunks("1=a"), waitForDisconnect}, {sendChunks("2=b", "3=[DONE]")}}},
		{failure: "error event", resume: true, got: "a", err: ErrErrorEvent, verdict: verdict.Ran, status: 502, cancelled: true, requests: [][]handlerStep{{sendChunks("1=a", `2={"error":{"message":"x"}}`)}}},
		{failure: "refused, not run", err: &StatusError{}, verdict: verdict.NotRun, status: 503, requests: [][]handlerStep{{respondError(503, "no")}}},
		{failure: "refused, then silent", err: &StatusError{}, verdict: verdict.NotRun, status: 503, requests: [][]handlerStep{{respondError(503, "no"), flush, waitForDisconnect}}},
		{failure: "refused without a verdict", err: &StatusError{}, verdict: verdict.Unknown, status: 502, cancelled: true, requests: [][]handlerStep{{respondError(503, "")}}},
		{failure: "refused with another status", err: &StatusError{}, verdict: verdict.Unknown, status: 502, cancelled: true, requests: [][]handlerStep{{respondError(500, "no")}}},
		{failure: "request rejected", err: &StatusError{}, verdict: verdict.Unknown, status: 400, requests: [][]handlerStep{{respondError(400, "")}}},
		{failure: "not a stream", err: ErrNotStream, verdict: verdict.Unknown, status: 502, cancelled: true, requests: [][]handlerStep{{func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }}}},
	} {
		t.Run(c.failure, func(t *testing.T) {
			t.Parallel()
			f := newFakeEngine(t, c.requests...)
			client := New(transport.New(), WithReadTimeout(readTimeout), WithResumeDelay(time.Millisecond))
			call := f.call()
			call.Resumable = c.resume
			if strings.HasPrefix(c.failure, "gap") {
				client.readTimeout = defaultReadTimeout // only the gap timeout may expire
			}
			got := ""
			result, err := client.Stream(t.Context(), call, func(c Chunk) error {
				got += string(c.Data())
				return nil
			})
			var isStatus *StatusError
			if matches := errors.Is(err, c.err) || errors.As(c.err, &isStatus) && errors.As(err, &isStatus); !matches {
				t.Errorf("error %v, expected %v", err, c.err)
			}
			if got != c.got || verdict.FromError(err) != c.verdict || result.Resumes() != c.resumes {
				t.Errorf("got %q, verdict %v, %d resumes (%v)", got, verdict.FromError(err), result.Resumes(), err)
			}
			if lost := strings.HasPrefix(c.failure, "killed") || c.failure == "restarted" || c.failure == "restarted without a boot ID" || c.failure == "forgot the stream"; lost != result.ConnectionLost() {
				t.Errorf("connection lost: %v", !lost)
			}
			var verdictErr *verdict.Error
			if errors.As(err, &verdictErr) && verdictErr.Status() != c.status {
				t.Errorf("status %d", verdictErr.Status())
			}
			if err := client.WaitForCancels(t.Context()); err != nil {
				t.Error(err)
			}
			if cancelled := len(f.cancels) > 0; cancelled != c.cancelled {
				t.Errorf("cancelled %v", cancelled)
			}
			requestHeaders := f.headers()
			if h := requestHeaders[0]; h.Get("Request-Id") != "r1" || h.Get("Request-Attempt") != "1" || h.Get("Request-Priority") != "0" {
				t.Errorf("header %v", h)
			}
			if c.resumes == 1 && requestHeaders[1].Get("Last-Event-Id") != "1:1" {
				t.Errorf("resumed from %q", requestHeaders[1].Get("Last-Event-Id"))
			}
		})
	}
}

// TestCancelAfterDeliveryStops guards against an engine that continues a request
// whose caller has disconnected or is too slow.
func TestCancelAfterDeliveryStops(t *testing.T) {
	errSlowCaller := errors.New("caller is too slow")
	for name, deliver := range map[string]func(cancel func()) error{
		"disconnected": func(cancel func()) error { cancel(); return nil },
		"too slow":     func(func()) error { return errSlowCaller },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeEngine(t, []handlerStep{sendChunks("1=a"), waitForDisconnect})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := New(transport.New())
			_, err := client.Stream(ctx, f.call(), func(Chunk) error { return deliver(cancel) })
			if verdict.FromError(err) != verdict.Ran || !errors.Is(err, context.Canceled) && !errors.Is(err, errSlowCaller) {
				t.Error(err)
			}
			select {
			case id := <-f.cancels:
				if id != "r1" {
					t.Errorf("cancelled %q", id)
				}
			case <-time.After(5 * time.Second):
				t.Error("request was not cancelled at the engine")
			}
		})
	}
}

// TestDialRefused guards against a request that is reported as possibly executed
// although no connection was made.
func TestDialRefused(t *testing.T) {
	f := newFakeEngine(t)
	f.Close()
	result, err := New(transport.New()).Stream(t.Context(), f.call(), nil)
	if verdict.FromError(err) != verdict.NotRun || !result.ConnectionLost() {
		t.Error(err, result)
	}
}

// TestSilentIdleConnection guards against idle connections that stopped working
// without being closed: after the first timeout, the connections to the address
// must not be used for later requests.
func TestSilentIdleConnection(t *testing.T) {
	f := newFakeEngine(t, []handlerStep{sendChunks("1=[DONE]")})
	address, connCount, blackhole := newBlackholeProxy(t, f.Listener.Addr().String())
	call := f.call()
	call.Address = address
	client := New(transport.New(), WithReadTimeout(200*time.Millisecond))
	stream := func() error {
		_, err := client.Stream(t.Context(), call, func(Chunk) error { return nil })
		return err
	}
	for range 2 {
		if err := stream(); err != nil {
			t.Fatal(err)
		}
	}
	if n := connCount(); n != 1 {
		t.Fatalf("%d connections for two streams, want 1 that is reused", n)
	}
	blackhole()
	if err := stream(); !errors.Is(err, ErrTimeout) {
		t.Fatal(err)
	}
	if err := stream(); err != nil {
		t.Errorf("after the pool was removed: %v", err)
	}
}

// newBlackholeProxy starts a TCP proxy to target. blackhole makes it drop all bytes
// of the connections that are open at that time; connCount returns the number of
// connections so far.
func newBlackholeProxy(t *testing.T, target string) (address string, connCount func() int, blackhole func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	blackholed, count := map[int]bool{}, 0
	forward := func(n int, to, from net.Conn) {
		b := make([]byte, 4096)
		for {
			got, err := from.Read(b)
			mu.Lock()
			drop := blackholed[n]
			mu.Unlock()
			if err != nil {
				_ = to.Close()
				return
			}
			if !drop {
				_, _ = to.Write(b[:got])
			}
		}
	}
	blackhole = func() {
		mu.Lock()
		defer mu.Unlock()
		for n := range count {
			blackholed[n] = true
		}
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			mu.Lock()
			n := count
			count++
			mu.Unlock()
			go forward(n, out, in)
			go forward(n, in, out)
		}
	}()
	connCount = func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
	return listener.Addr().String(), connCount, blackhole
}
