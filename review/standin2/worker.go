package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// event is a line that a worker writes about a request.
type event struct {
	// At is the Unix time in microseconds.
	At      int64  `json:"at_us"`
	Worker  string `json:"worker"`
	Born    int64  `json:"born"`
	Event   string `json:"event"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// worker is a stand-in of one worker process.
type worker struct {
	id, address, service, zone, version, storeAddress string

	born     int64
	slots    int
	cold     time.Duration
	work     time.Duration
	gap      time.Duration
	events   int
	stall    float64
	lost     float64
	fail     float64
	status   int
	coldOver int
	deadly   string

	epoch                            time.Time
	stallTimes, lostTimes, failTimes spans

	seq     atomic.Uint64
	started time.Time
	// listener is closed first in a crash.
	listener net.Listener
	slot     chan struct{}
	waiting  atomic.Int64
	drain    atomic.Bool

	mu      sync.Mutex
	arrived []time.Time
}

func runWorker(args []string) error {
	f := flag.NewFlagSet("worker", flag.ContinueOnError)
	w := &worker{started: time.Now(), born: time.Now().UnixMilli()}
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.address, "address", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.zone, "zone", "zone-a", "")
	f.StringVar(&w.version, "version", "v1", "")
	f.StringVar(&w.storeAddress, "store", "", "")
	f.IntVar(&w.slots, "slots", 64, "requests at once")
	f.DurationVar(&w.cold, "cold", 0, "how long the worker is cold")
	f.DurationVar(&w.work, "work", 15*time.Millisecond, "time of a request")
	f.DurationVar(&w.gap, "gap", 20*time.Millisecond, "time between events")
	f.IntVar(&w.events, "events", 7, "events of a stream")
	f.Float64Var(&w.stall, "stall", 0, "share of the streams that send nothing after their first event")
	f.Float64Var(&w.lost, "lost", 0, "share of the requests that run and whose answer is lost")
	f.Float64Var(&w.fail, "fail", 0, "share of the requests that fail after they have run")
	f.IntVar(&w.status, "status", 500, "status of those")
	f.IntVar(&w.coldOver, "cold-crash", 0, "requests in one second above which a cold worker crashes, 0: never")
	f.StringVar(&w.deadly, "deadly", "", "part of a prompt on which the worker crashes as it begins to answer")
	epoch := f.Int64("epoch", 0, "Unix time in ms from which the times of trouble count")
	f.Func("stall-times", "when streams stall, as START+LENGTH in seconds, separated by commas", w.stallTimes.parse)
	f.Func("lost-times", "when answers are lost", w.lostTimes.parse)
	f.Func("fail-times", "when requests fail", w.failTimes.parse)
	if err := f.Parse(args); err != nil {
		return err
	}
	w.epoch = time.UnixMilli(*epoch)
	w.slot = make(chan struct{}, w.slots)
	l, err := listen(w.address)
	if err != nil {
		return err
	}
	w.listener = l
	if err := w.register(); err != nil {
		return err
	}
	w.log("started", "", "cold_ms="+strconv.FormatInt(w.coldLeft().Milliseconds(), 10))
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			_ = w.register()
		}
	}()
	return (&http.Server{Handler: w}).Serve(l)
}

// listen waits until the address is free, as after the end of an earlier process.
func listen(address string) (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp4", address); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

func (w *worker) coldLeft() time.Duration { return max(0, w.cold-time.Since(w.started)) }

func (w *worker) register() error {
	state := "ready"
	if w.drain.Load() {
		state = "draining"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return writeRegistration(ctx, w.storeAddress, w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": state,
		"cold_remaining_ms": w.coldLeft().Milliseconds(), "seq": w.seq.Add(1), "born": w.born,
	})
}

var logMu sync.Mutex

func (w *worker) log(name, request, detail string) {
	line, _ := json.Marshal(event{time.Now().UnixMicro(), w.id, w.born, name, request, detail})
	logMu.Lock()
	defer logMu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// spans are times after the epoch.
type spans [][2]time.Duration

func (s *spans) parse(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		var start, length float64
		if _, err := fmt.Sscanf(part, "%f+%f", &start, &length); err != nil {
			return err
		}
		*s = append(*s, [2]time.Duration{time.Duration(start * float64(time.Second)), time.Duration(length * float64(time.Second))})
	}
	return nil
}

// include reports whether it is one of the times.
func (s spans) include(d time.Duration) bool {
	for _, span := range s {
		if d >= span[0] && d < span[0]+span[1] {
			return true
		}
	}
	return false
}

// troubled reports whether a request is among the share that has a trouble now.
func (w *worker) troubled(request, what string, times spans, share float64) bool {
	return times.include(time.Since(w.epoch)) && w.drawn(request, what, share)
}

// drawn reports whether a request is among a share of all, by its id and the worker's.
func (w *worker) drawn(request, what string, share float64) bool {
	h := fnv.New64a()
	_, _ = io.WriteString(h, request+"/"+w.id+"/"+what)
	return float64(h.Sum64()>>11)/(1<<53) < share
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	head := rw.Header()
	head.Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		head.Set("Instance-Id", w.id)
		if left := w.coldLeft(); left > 0 {
			head.Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		w.log("health", "", "")
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		head.Set("Instance-Id", w.id)
		head.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		w.log("misdirected", id, expected)
		return
	}
	w.log("arrived", id, fmt.Sprintf("cold_ms=%d deadline=%s resume=%s", w.coldLeft().Milliseconds(), r.Header.Get("Deadline-Ms"), r.Header.Get("Last-Event-Id")))
	w.countCold(id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if w.waiting.Add(1) > int64(3*w.slots) {
		w.waiting.Add(-1)
		head.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		w.log("rejected", id, "full")
		return
	}
	defer w.waiting.Add(-1)
	select {
	case w.slot <- struct{}{}:
		defer func() { <-w.slot }()
	case <-r.Context().Done():
		w.log("left", id, "before it ran")
		return
	}
	head.Set("Response-Seal", "seal-"+w.id+"-"+id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		w.stream(rw, r, id)
		return
	}
	w.log("runs", id, "")
	time.Sleep(w.work)
	if w.troubled(id, "fail", w.failTimes, w.fail) {
		rw.WriteHeader(w.status)
		_, _ = io.WriteString(rw, "failed "+id)
		w.log("answered", id, strconv.Itoa(w.status))
		return
	}
	_, _ = io.WriteString(rw, "done "+id)
	w.log("answered", id, "200")
}

// countCold ends the process at a rate well above that which a cold worker bears.
func (w *worker) countCold(id string) {
	if w.coldOver == 0 || w.coldLeft() == 0 {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrived = append(w.arrived, now)
	for len(w.arrived) > 0 && now.Sub(w.arrived[0]) > time.Second {
		w.arrived = w.arrived[1:]
	}
	if len(w.arrived) > w.coldOver {
		w.log("crashed", id, fmt.Sprintf("cold, %d requests in a second", len(w.arrived)))
		os.Exit(3)
	}
}

// stream answers with events whose ids increase from 1, or goes on after Last-Event-Id.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw)
	time.Sleep(w.work)
	w.log("runs", id, "from event "+strconv.Itoa(first))
	if w.troubled(id, "lost", w.lostTimes, w.lost) {
		w.log("lost", id, "answer")
		if c, _, err := flush.Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		return
	}
	for n := first; n <= w.events; n++ {
		text := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
		_, _ = io.WriteString(rw, text)
		if n == first && w.holdsDeadly(r) {
			_ = flush.Flush()
			w.log("crashed", id, "on part "+w.deadly)
			// Connections must not end before the listener, or the worker seems to live on.
			_ = w.listener.Close()
			os.Exit(2)
		}
		if flush.Flush() != nil || r.Context().Err() != nil {
			w.log("left", id, "after event "+strconv.Itoa(n))
			return
		}
		if n == first && first == 1 && w.troubled(id, "stall", w.stallTimes, w.stall) {
			w.log("stalls", id, "after event "+strconv.Itoa(n))
			<-r.Context().Done()
			w.log("left", id, "after event "+strconv.Itoa(n))
			return
		}
		time.Sleep(w.gap)
	}
	w.log("answered", id, "200")
}

// holdsDeadly reports whether the prompt has the deadly part before its last part.
func (w *worker) holdsDeadly(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(p, ":"); w.deadly != "" && name == w.deadly {
			return true
		}
	}
	return false
}
