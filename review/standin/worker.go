package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the time between two registrations of a worker.
	heartbeat = 1200 * time.Millisecond
	// workerIdle is the idle timeout that a worker states in Keep-Alive.
	workerIdle = 5 * time.Second
)

// arrival is one request that reached a worker.
type arrival struct {
	id     string
	path   string
	header http.Header
	at     time.Time
	ran    bool
	done   bool
}

// job is the work of one request at a worker, after it got a slot.
type job func(k *worker, w http.ResponseWriter, r *http.Request, body []byte)

// worker is a stand-in of a server of a service.
type worker struct {
	id, service, zone string
	address           string
	slots, queue      int
	born              int64
	engine            bool
	run               job
	record            *record
	store             *store
	server            *http.Server

	seq        atomic.Uint64
	leaving    atomic.Bool
	registered atomic.Bool
	// beating orders the registrations and the removal of the entry.
	beating sync.Mutex

	mu       sync.Mutex
	arrivals []*arrival
	places   chan struct{}
	running  chan struct{}
	stopped  chan struct{}
}

func startWorker(r *record, s *store, id, service, zone string, slots, queue int, engine bool, run job) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for worker %s: %w", id, err)
	}
	k := &worker{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, queue: queue, born: time.Now().UnixMilli(),
		engine: engine, run: run, record: r, store: s, places: make(chan struct{}, slots+queue), running: make(chan struct{}, slots), stopped: make(chan struct{}),
	}
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve), IdleTimeout: workerIdle}
	go func() { _ = k.server.Serve(l) }()
	k.registered.Store(true)
	k.beat()
	go k.beats()
	r.line("worker %s of %s in %s serves at %s, slots %d, queue %d", id, service, zone, k.address, slots, queue)
	return k, nil
}

// document returns the next registration of the worker.
func (k *worker) document() object {
	d := object{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": k.seq.Add(1), "born": k.born,
	}
	if k.engine {
		d["stage"] = "colocated"
		d["models"] = []object{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return d
}

func (k *worker) key() string { return "servers/" + k.id }

func (k *worker) beat() {
	k.beating.Lock()
	defer k.beating.Unlock()
	if k.registered.Load() {
		k.store.put(k.key(), k.document())
	}
}

// loseBeat returns the next registration without writing it to the store.
func (k *worker) loseBeat() object {
	k.beating.Lock()
	defer k.beating.Unlock()
	return k.document()
}

// unregister removes the entry of the worker, which sends no more registrations.
func (k *worker) unregister() {
	k.beating.Lock()
	defer k.beating.Unlock()
	k.registered.Store(false)
	k.store.remove(k.key())
}

func (k *worker) beats() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.beat()
		case <-k.stopped:
			return
		}
	}
}

func (k *worker) stop() {
	select {
	case <-k.stopped:
	default:
		close(k.stopped)
		_ = k.server.Close()
	}
}

// received returns copies of the arrivals so far.
func (k *worker) received() []arrival {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]arrival, len(k.arrivals))
	for i, a := range k.arrivals {
		list[i] = *a
	}
	return list
}

func (k *worker) update(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	a := &arrival{id: r.Header.Get("Request-Id"), path: r.RequestURI, header: r.Header.Clone(), at: time.Now()}
	h := w.Header()
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(workerIdle.Seconds())))
	if a.id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Request-Id", a.id)
	if k.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.id {
		h.Set("Instance-Id", k.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.update(func() { k.arrivals = append(k.arrivals, a) })
	body, err := io.ReadAll(r.Body)
	if err != nil {
		k.record.line("worker %s: body of %s broke off after %d bytes", k.id, a.id, len(body))
		return
	}
	select {
	case k.places <- struct{}{}:
		defer func() { <-k.places }()
	default:
		k.record.line("worker %s is full, does not run %s", k.id, a.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case k.running <- struct{}{}:
		defer func() { <-k.running }()
	case <-r.Context().Done():
		k.record.line("worker %s: %s left the queue", k.id, a.id)
		return
	}
	k.update(func() { a.ran = true })
	k.record.line("worker %s runs %s (%d bytes), left %s ms", k.id, a.id, len(body), r.Header.Get("Deadline-Ms"))
	if k.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if k.engine {
		h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(k.running), max(0, len(k.places)-len(k.running)), k.slots))
	}
	h.Set("Response-Seal", "seal."+a.id)
	k.run(k, w, r, body)
	k.update(func() { a.done = true })
}

// workFor returns a job that takes a time and then answers.
func workFor(d time.Duration) job {
	return func(k *worker, w http.ResponseWriter, r *http.Request, _ []byte) {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			k.record.line("worker %s: %s was cancelled", k.id, r.Header.Get("Request-Id"))
			return
		}
		if k.leaving.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
		text := "answer of " + k.id + " to " + r.Header.Get("Request-Id")
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		k.record.line("worker %s answered %s", k.id, r.Header.Get("Request-Id"))
	}
}
