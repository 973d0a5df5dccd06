package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond

// call is one request at a worker.
type call struct {
	w       *worker
	conn    net.Conn
	req     *http.Request
	body    []byte
	id      string
	arrived time.Time
	// cancelled is closed once the caller has closed the connection.
	cancelled chan struct{}
}

// worker is a stand-in of one worker.
type worker struct {
	rec     *record
	st      *store
	id      string
	service string
	zone    string
	slots   int
	address string
	// serve answers a call and reports whether the connection stays open.
	serve func(c *call) (keep bool)

	mu       sync.Mutex
	born     int64
	seq      uint64
	state    string
	beating  bool
	cold     time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}

	leaving atomic.Bool
	running atomic.Int64
	runs    atomic.Int64
}

func startWorker(rec *record, st *store, id, service, zone, ip string, slots int, serve func(c *call) bool) (*worker, error) {
	w := &worker{rec: rec, st: st, id: id, service: service, zone: zone, slots: slots, serve: serve, state: "ready", conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	w.address = ip + ":0"
	if err := w.up(); err != nil {
		return nil, err
	}
	go w.beat()
	return w, nil
}

// up starts an incarnation, at the address of the one before.
func (w *worker) up() error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.address, w.born, w.seq, w.beating = l, l.Addr().String(), time.Now().UnixMilli(), 0, true
	w.mu.Unlock()
	go w.accept(l)
	w.register()
	return nil
}

// crash ends the incarnation as the end of its process does: the kernel closes the
// listener and all connections.
func (w *worker) crash() {
	w.mu.Lock()
	w.beating = false
	l, conns := w.listener, w.conns
	w.conns = map[net.Conn]bool{}
	w.mu.Unlock()
	_ = l.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (w *worker) close() {
	close(w.stop)
	w.crash()
}

// register writes the worker's entry, a new number each time.
func (w *worker) register() uint64 {
	w.mu.Lock()
	if !w.beating {
		w.mu.Unlock()
		return 0
	}
	w.seq++
	cold := max(0, time.Until(w.cold).Milliseconds())
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"cold_remaining_ms": cold, "seq": w.seq, "born": w.born,
	}
	w.mu.Unlock()
	return w.st.put("servers/"+w.id, entry, 0)
}

func (w *worker) beat() {
	// Workers start at different times.
	select {
	case <-w.stop:
		return
	case <-time.After(time.Duration(rand.Int63n(int64(heartbeat)))):
	}
	for {
		w.register()
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// setState changes the state in the entry and returns the revision.
func (w *worker) setState(state string) uint64 {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	return w.register()
}

// silence ends the heartbeats.
func (w *worker) silence() {
	w.mu.Lock()
	w.beating = false
	w.mu.Unlock()
}

func (w *worker) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.handle(c)
	}
}

func (w *worker) handle(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		k := &call{w: w, conn: c, req: req, body: body, id: req.Header.Get("Request-Id"), arrived: time.Now(), cancelled: make(chan struct{})}
		// The worker serves one request at a time on a connection, so a byte or an end
		// before the answer means that the caller has gone.
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if _, err := r.Peek(1); err != nil {
				close(k.cancelled)
			}
		}()
		if expect := req.Header.Get("Expect-Instance"); expect != "" && expect != w.id {
			k.answer(http.StatusMisdirectedRequest, map[string]string{"Instance-Id": w.id}, nil)
			<-ended
			continue
		}
		w.running.Add(1)
		keep := w.serve(k)
		w.running.Add(-1)
		if !keep {
			return
		}
		<-ended
	}
}

// head returns the head of an answer. length -1 states none.
func (c *call) head(status int, length int, fields map[string]string) string {
	h := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), c.id, c.w.running.Load(), c.w.slots)
	if c.w.leaving.Load() {
		h += "Server-Leaving: 1\r\n"
	}
	for k, v := range fields {
		h += k + ": " + v + "\r\n"
	}
	if length >= 0 {
		h += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	return h + "\r\n"
}

func (c *call) answer(status int, fields map[string]string, body []byte) {
	_, _ = c.conn.Write(append([]byte(c.head(status, len(body), fields)), body...))
}

// seal returns the field of an answer of a run.
func (c *call) seal(more map[string]string) map[string]string {
	f := map[string]string{"Response-Seal": "seal." + c.w.id + "." + c.id}
	for k, v := range more {
		f[k] = v
	}
	return f
}

// servePlain returns a handler of a plain service whose requests take some work.
func servePlain(work time.Duration) func(c *call) bool {
	return func(c *call) bool {
		c.w.runs.Add(1)
		c.w.rec.printf("worker %s runs %s %s", c.w.id, c.id, c.req.URL.Path)
		select {
		case <-time.After(work):
		case <-c.cancelled:
			return false
		}
		c.answer(http.StatusOK, c.seal(nil), []byte("done "+c.id))
		return true
	}
}
