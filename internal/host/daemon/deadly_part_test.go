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
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
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

// deadlyFleet is a fleet with engines that crash.
type deadlyFleet struct {
	key     string
	log     *crashLog
	engines []string
	callers []string
	stop    func()
}

func newDeadlyFleet(t *testing.T) *deadlyFleet {
	key, err := fleetconfig.IssueKey([]byte(testSecret), "w", 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &deadlyFleet{key: key, log: &crashLog{}}
	for range 8 {
		f.engines = append(f.engines, startCrashingEngine(t, f.log).address)
	}
	return f
}

// start starts the routers and waits until they serve. New owners admit no requests
// at first.
func (f *deadlyFleet) start(t *testing.T, store string) {
	t.Helper()
	f.callers, f.stop = startFleet(t, store, 3, f.engines)
	for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if reply, err := f.send(0, "subject 0"); err == nil && reply.Complete {
			return
		}
		if time.Since(begin) > 20*time.Second {
			t.Fatal("no chat is served")
		}
	}
}

// send sends a chat with a shared message to a router.
func (f *deadlyFleet) send(n int, shared string) (loadgen.ChatResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return loadgen.SendChat(ctx, http.DefaultClient, loadgen.ChatRequest{
		Address: f.callers[n%len(f.callers)], APIKey: f.key, ChatID: fmt.Sprint(n), Model: engine.Defaults().Model, Stream: true,
		Messages: []engine.Message{{Role: "system", Content: "Help."}, {Role: "user", Content: shared}, {Role: "user", Content: fmt.Sprint("question ", n)}},
	})
}

// refused reports whether a chat was refused because of a message.
func refused(r loadgen.ChatResponse) bool {
	return r.Status == http.StatusServiceUnavailable && r.Executed == "no" && r.RetryAfter > quarantineRetryAfter
}

// TestDeadlyMessageReachesFewEngines guards against chats with a message that crashes
// engines being sent to one engine after the other.
func TestDeadlyMessageReachesFewEngines(t *testing.T) {
	t.Parallel()
	f := newDeadlyFleet(t)
	f.start(t, startStore(t))
	var served, sound, soundRefused, lateDeadly, deadlyRefused atomic.Int64
	var chats sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < 9*time.Second; n++ {
		chats.Go(func() {
			deadly := n%4 == 0
			shared := fmt.Sprint("subject ", n%5)
			if deadly {
				shared = deadlyText
			}
			reply, err := f.send(n, shared)
			late := time.Since(begin) > 6*time.Second
			switch {
			case deadly && late:
				lateDeadly.Add(1)
				if refused(reply) {
					deadlyRefused.Add(1)
				}
			case !deadly && late:
				sound.Add(1)
				if err == nil && reply.Complete {
					served.Add(1)
				}
			}
			if !deadly && refused(reply) {
				soundRefused.Add(1)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	chats.Wait()
	crashes, late := f.log.late()
	t.Logf("%d crashes, %d late, %d of %d deadly ones refused, %d of %d sound ones served", crashes, late, deadlyRefused.Load(), lateDeadly.Load(), served.Load(), sound.Load())
	if late > maxLateChats {
		t.Errorf("%d chats with the message reached engines later than %v after the fifth of %d crashes", late, lateAfter, crashes)
	}
	if soundRefused.Load() > 0 || 2*served.Load() < sound.Load() {
		t.Errorf("of %d sound chats %d were served; %d were refused because of a message", sound.Load(), served.Load(), soundRefused.Load())
	}
	if n := deadlyRefused.Load(); n < lateDeadly.Load() {
		t.Errorf("%d of %d chats with the message refused as not executed", n, lateDeadly.Load())
	}
}

// TestQuarantineOutlastsRouters guards against a message that crashes engines again
// after all routers were lost.
func TestQuarantineOutlastsRouters(t *testing.T) {
	t.Parallel()
	f, store := newDeadlyFleet(t), startStore(t)
	f.start(t, store)
	saved := func() bool {
		kv, found, err := etcd.New([]string{store}).Get(t.Context(), quarantineKey)
		return err == nil && found && strings.Contains(string(kv.Value()), `"quarantine"`)
	}
	for begin, n := time.Now(), 0; time.Since(begin) < 15*time.Second && !saved(); n++ {
		// Engines are down for a time after each chat with the message.
		time.Sleep(100 * time.Millisecond)
		for range 2 {
			// Engines crash, so that chats may fail.
			_, _ = f.send(n, fmt.Sprint("subject ", n%5))
		}
		_, _ = f.send(n, deadlyText)
	}
	if !saved() {
		t.Fatal("the quarantine is not saved")
	}
	f.stop()
	crashes, _ := f.log.late()
	f.start(t, store)
	for n := range 9 {
		if reply, err := f.send(n, deadlyText); err != nil || !refused(reply) {
			t.Errorf("chat with the message: %+v, %v", reply, err)
		}
	}
	if after, _ := f.log.late(); after != crashes {
		t.Errorf("%d crashes after the loss of all routers", after-crashes)
	}
}
