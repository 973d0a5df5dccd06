package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/loadgen"
)

const (
	deadlyText    = "deadly"
	crashDowntime = 700 * time.Millisecond
	// maxLateChats is how many chats with the message may reach engines later than
	// lateAfter after the fifth crash.
	maxLateChats = 3
	lateAfter    = 3 * time.Second
	// quarantineRetryAfter is less than the Retry-After of a chat refused because of a
	// message and more than that of any other refusal.
	quarantineRetryAfter = 4 * time.Second
)

// crashingEngine is an engine that crashes when it begins to respond to a chat with
// the deadly text in a message other than the last, and is back after crashDowntime.
type crashingEngine struct {
	t       *testing.T
	address string
	fleet   *crashLog

	mu     sync.Mutex
	server *http.Server
}

// crashLog records the crashes and the chats that reached the engines.
type crashLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
}

// late returns the number of crashes, and that of deadly chats later than lateAfter
// after the fifth.
func (l *crashLog) late() (crashes, late int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.arrivals {
		if len(l.crashes) >= 5 && at.Sub(l.crashes[4]) > lateAfter {
			late++
		}
	}
	return len(l.crashes), late
}

func startCrashingEngine(t *testing.T, log *crashLog) *crashingEngine {
	e := &crashingEngine{t: t, fleet: log, address: freeAddress(t)}
	e.start()
	t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.server.Close()
	})
	return e
}

func (e *crashingEngine) start() {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		e.t.Errorf("start engine: %v", err)
		return
	}
	options := engine.Defaults()
	options.ColdLimit, options.MaxBatchSize, options.PrefillPerToken, options.InterTokenLatency = 1000, 1000, 0, time.Millisecond
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = &http.Server{Handler: e.handler(engine.New(options))}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
}

func (e *crashingEngine) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !strings.Contains(string(body), deadlyText) {
			next.ServeHTTP(w, r)
			return
		}
		e.fleet.mu.Lock()
		e.fleet.arrivals = append(e.fleet.arrivals, time.Now())
		e.fleet.mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		e.crash()
	})
}

func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.mu.Lock()
	e.fleet.crashes = append(e.fleet.crashes, time.Now())
	e.fleet.mu.Unlock()
	_ = e.server.Close()
	time.AfterFunc(crashDowntime, e.start)
}

// TestDeadlyMessageReachesFewEngines guards against chats with a message that crashes
// engines being sent to one engine after the other.
func TestDeadlyMessageReachesFewEngines(t *testing.T) {
	log := &crashLog{}
	var engines []string
	for range 8 {
		engines = append(engines, startCrashingEngine(t, log).address)
	}
	callers := startFleet(t, 3, engines)
	key, err := fleetconfig.IssueKey([]byte(testSecret), "w", 1)
	if err != nil {
		t.Fatal(err)
	}
	var served, sound, soundRefused, lateDeadly, deadlyRefused atomic.Int64
	send := func(n int, first string) (loadgen.ChatResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return loadgen.SendChat(ctx, http.DefaultClient, loadgen.ChatRequest{
			Address: callers[n%len(callers)], APIKey: key, ChatID: fmt.Sprint(n), Model: engine.Defaults().Model, Stream: true,
			Messages: []engine.Message{{Role: "system", Content: "Help."}, {Role: "user", Content: first}, {Role: "user", Content: fmt.Sprint("question ", n)}},
		})
	}
	// New owners admit no requests at first.
	for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if reply, err := send(0, "subject 0"); err == nil && reply.Complete {
			break
		}
		if time.Since(begin) > 20*time.Second {
			t.Fatal("no chat is served")
		}
	}
	var chats sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < 9*time.Second; n++ {
		chats.Go(func() {
			deadly := n%4 == 0
			first := fmt.Sprint("subject ", n%5)
			if deadly {
				first = deadlyText
			}
			reply, err := send(n, first)
			switch {
			case deadly && time.Since(begin) > 6*time.Second:
				lateDeadly.Add(1)
				if reply.Status == http.StatusServiceUnavailable && reply.Executed == "no" && reply.RetryAfter > quarantineRetryAfter {
					deadlyRefused.Add(1)
				}
			case deadly:
			case time.Since(begin) > 6*time.Second:
				sound.Add(1)
				if err == nil && reply.Complete {
					served.Add(1)
				}
			}
			if !deadly && reply.RetryAfter > quarantineRetryAfter {
				soundRefused.Add(1)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	chats.Wait()
	crashes, late := log.late()
	t.Logf("%d crashes, %d late, %d of %d deadly ones refused, %d of %d sound ones served", crashes, late, deadlyRefused.Load(), lateDeadly.Load(), served.Load(), sound.Load())
	if late > maxLateChats {
		t.Errorf("%d chats with the message reached engines later than %v after the fifth of %d crashes", late, lateAfter, crashes)
	}
	if soundRefused.Load() > 0 || 2*served.Load() < sound.Load() {
		t.Errorf("of %d sound chats %d were served; %d were refused because of a message", sound.Load(), served.Load(), soundRefused.Load())
	}
	if refused := deadlyRefused.Load(); refused < lateDeadly.Load() {
		t.Errorf("%d of %d chats with the message refused as not executed", refused, lateDeadly.Load())
	}
}
