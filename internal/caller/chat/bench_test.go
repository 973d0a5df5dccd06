package chat

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// cannedEngines implements the dependencies of a Handler without network. Each
// stream delivers the same chunks.
type cannedEngines struct {
	fakeDependencies
	chunks [][]byte
}

func (c *cannedEngines) Acquire(_ context.Context, r admission.Request) (admission.Grant, error) {
	return &fakeGrant{deps: &c.fakeDependencies, id: "engine-1", address: "x", attempt: r.Attempt}, nil
}

func (c *cannedEngines) Stream(_ context.Context, _ engine.Call, deliver func(engine.Chunk) error) (engine.Result, error) {
	for i, data := range c.chunks {
		if err := deliver(engine.NewChunk(uint64(i+1), data)); err != nil {
			return engine.Result{}, err
		}
	}
	return engine.Result{}, nil
}

func (c *cannedEngines) RequestEnded(admission.RequestSummary) { c.reports = c.reports[:0] }

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) FlushError() error           { return nil }

func (d *discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (d *discardWriter) SetReadDeadline(time.Time) error  { return nil }

// BenchmarkEntry measures the handler without network and engine client, for a
// response without tokens, a stream of 1,000 tokens and an aggregated response of
// 1,000 tokens. The request body is a chat of 8 KiB.
func BenchmarkEntry(b *testing.B) {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"system","content":%q},{"role":"user","content":"hello"}]`, strings.Repeat("brief ", 1365))
	for _, c := range []struct {
		name   string
		tokens int
		stream bool
	}{{"tokens=0", 0, true}, {"tokens=1000", 1000, true}, {"tokens=1000/aggregated", 1000, false}} {
		b.Run(c.name, func(b *testing.B) {
			source := &cannedEngines{}
			for range c.tokens {
				source.chunks = append(source.chunks, []byte(tokenChunk("word")))
			}
			h := New(source, source, source, source, source)
			text := body + fmt.Sprintf(`,"stream":%v}`, c.stream)
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(text))
				r.Header.Set("Authorization", "Bearer key")
				h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			}
		})
	}
}

// BenchmarkRelay measures a stream of 1,000 tokens from engine to caller over
// loopback. Engine, handler and caller run in this process. The engine flushes
// after each chunk, so that each is sent in its own packet.
func BenchmarkRelay(b *testing.B) {
	chunks := make([]string, 1000)
	for i := range chunks {
		chunks[i] = fmt.Sprintf(":%d\ndata: %s\n\n", i+1, tokenChunk("word"))
	}
	source := &cannedEngines{}
	engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		id := "id: " + r.Header.Get("Request-Attempt")
		for _, c := range chunks {
			_, _ = io.WriteString(w, id+c)
			_ = control.Flush()
		}
		_, _ = io.WriteString(w, id+":1001\ndata: [DONE]\n\n")
	}))
	defer engineServer.Close()
	fixed := &fixedAdmission{cannedEngines: source, address: engineServer.Listener.Addr().String()}
	server := httptest.NewServer(New(fixed, engine.New(transport.New()), source, source, source))
	defer server.Close()
	b.ReportAllocs()
	before := cpuTime()
	defer func() { b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op") }()
	for b.Loop() {
		if _, text := postCompletion(b, server, unclosedRequest+`,"stream":true}`); !strings.HasSuffix(text, "[DONE]\n\n") {
			b.Fatal(text)
		}
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fixedAdmission always grants the engine at address.
type fixedAdmission struct {
	*cannedEngines
	address string
}

func (f *fixedAdmission) Acquire(_ context.Context, r admission.Request) (admission.Grant, error) {
	return &fakeGrant{deps: &f.fakeDependencies, id: "engine-1", address: f.address, attempt: r.Attempt}, nil
}

// BenchmarkMemory reports the memory per request in progress: in a handler that
// only blocks ("bare"), waiting for admission, and in an open stream. The figures
// include the test's side: the caller's connection, which the bare handler
// isolates, and for streams the engine's connection, which costs about the same
// again.
func BenchmarkMemory(b *testing.B) {
	const requests = 500
	for _, c := range []struct {
		name       string
		open, bare bool
	}{{"bare", false, true}, {"waiting", false, false}, {"stream", true, false}} {
		b.Run(c.name, func(b *testing.B) {
			reached, release := make(chan struct{}, requests), make(chan struct{})
			source := &cannedEngines{}
			engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				attempt := r.Header.Get("Request-Attempt")
				_, _ = fmt.Fprintf(w, "id: %s:1\ndata: %s\n\n", attempt, tokenChunk("a"))
				_ = http.NewResponseController(w).Flush()
				reached <- struct{}{}
				<-release
				_, _ = fmt.Fprintf(w, "id: %s:2\ndata: [DONE]\n\n", attempt)
			}))
			defer engineServer.Close()
			blocking := &blockingAdmission{fixedAdmission: &fixedAdmission{cannedEngines: source, address: engineServer.Listener.Addr().String()}, admit: c.open, reached: reached, release: release}
			handler := http.Handler(New(blocking, engine.New(transport.New(), engine.WithReadTimeout(time.Minute)), source, source, source))
			if c.bare {
				handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					reached <- struct{}{}
					<-release
				})
			}
			server := httptest.NewServer(handler)
			defer server.Close()
			for b.Loop() {
				before := memoryInUse()
				ended := make(chan struct{})
				for range requests {
					go func() {
						postCompletion(b, server, unclosedRequest+`,"stream":true}`)
						ended <- struct{}{}
					}()
				}
				for range requests {
					<-reached
				}
				time.Sleep(200 * time.Millisecond)
				b.ReportMetric(float64(memoryInUse()-before)/requests, "B/request")
				close(release)
				for range requests {
					<-ended
				}
				release = make(chan struct{})
				blocking.release = release
			}
		})
	}
}

// blockingAdmission blocks requests until release is closed, unless admit is set.
type blockingAdmission struct {
	*fixedAdmission
	admit   bool
	reached chan struct{}
	release chan struct{}
}

func (b *blockingAdmission) Acquire(ctx context.Context, r admission.Request) (admission.Grant, error) {
	if !b.admit {
		b.reached <- struct{}{}
		<-b.release
	}
	return b.fixedAdmission.Acquire(ctx, r)
}

// memoryInUse returns the bytes of live heap and stacks.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
