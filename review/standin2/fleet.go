package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: the store, routers and workers as processes, and a record
// of what they and the clients do.
type fleet struct {
	root   string
	dir    string
	store  *store
	record *record

	mu        sync.Mutex
	stopped   bool
	processes []*process
	routers   []*router
	events    []event
}

var errStopped = errors.New("the test is stopping")

// process is a process that the test started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

type router struct {
	*process
	name, callers, ready string
	settings             string
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// newFleet starts the store. root is the repository and folder that of the case.
func newFleet(root, folder string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, dir: dir, store: s, record: &record{file: file, start: time.Now()}}, nil
}

// stop ends all processes that the test started.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	list := f.processes
	f.mu.Unlock()
	for _, p := range list {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range list {
		<-p.ended
	}
	f.store.stop()
	_ = os.RemoveAll(f.dir)
	_ = f.record.file.Close()
}

func (f *fleet) start(name string, cmd *exec.Cmd) (*process, error) {
	p, err := f.launch(name, cmd)
	if err != nil {
		return nil, err
	}
	go func() {
		_ = cmd.Wait()
		f.record.line("process %s ended: %s", name, cmd.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

// launch starts a process, unless the test is stopping.
func (f *fleet) launch(name string, cmd *exec.Cmd) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil, errStopped
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	f.processes = append(f.processes, p)
	f.record.line("process %s started", name)
	return p, nil
}

// Listeners use ports below the range from which the kernel takes those of outgoing
// connections, so that a port that was free stays free.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freePort returns a port that is free for TCP and UDP at an address.
func freePort(ip string) (int, error) {
	for range 50 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp4", ip+":"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", ip+":"+strconv.Itoa(port))
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

func freeAddress() string {
	port, err := freePort("127.0.0.1")
	if err != nil {
		panic(err)
	}
	return "127.0.0.1:" + strconv.Itoa(port)
}

// settingsText is what platform/settings.ini.tmpl becomes with the bounds of the small
// deployments; only the metrics port differs.
const settingsText = `[host]
name = %s
failure_domain = %s

[failure_domains]
zone-a = region-a
zone-b = region-a
zone-c = region-a

[listen]
callers = %s
readiness = %s
peers = %s
metrics = %s

[store]
address = %s

[limits]
memory_mb = 284
max_fds = 4100

[bounds]
revocation = 5000ms
config_in_force = 2000ms
drain = 2000ms
grace = 8s
load_factor = 2
reuse_window = 10s

[retries]
ratio = 0.2
slack = 58
window = 10s

[cold_start]
over = 1.5
slack = 5

[shedding]
enabled = true
`

// startRouter starts the program of the deploy file and waits until it is ready.
func (f *fleet) startRouter(name, zone string) (*router, error) {
	r := &router{name: name, callers: freeAddress(), ready: freeAddress(), settings: filepath.Join(f.dir, name+".ini")}
	text := fmt.Sprintf(settingsText, name, zone, r.callers, r.ready, freeAddress(), freeAddress(), f.store.address)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := f.runRouter(r); err != nil {
		return nil, err
	}
	f.routers = append(f.routers, r)
	return r, nil
}

func (f *fleet) runRouter(r *router) error {
	program := "target/hemlock-edge"
	if p := os.Getenv("STANDIN2_ROUTER"); p != "" {
		program = p
	}
	cmd := exec.Command(program)
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEMLOCKCROFT_SETTINGS=" + r.settings}
	out := io.Discard
	if dir := os.Getenv("STANDIN2_LOGS"); dir != "" {
		file, err := os.OpenFile(filepath.Join(dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		out = file
	}
	cmd.Stdout, cmd.Stderr = out, out
	p, err := f.start(r.name, cmd)
	r.process = p
	return err
}

// isReady asks as the platform does.
func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + r.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			if r.isReady() {
				ready++
			}
		}
		if ready == len(f.routers) {
			f.record.line("all %d routers are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("not all routers are ready")
}

// startWorker starts a worker as a process and collects its lines.
func (f *fleet) startWorker(args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"worker", "-store", f.store.address}, args...)...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = io.Discard
	if os.Getenv("STANDIN2_LOGS") != "" {
		cmd.Stderr = os.Stderr
	}
	p, err := f.launch("worker "+value(args, "-id"), cmd)
	if err != nil {
		return nil, err
	}
	go func() {
		s := bufio.NewScanner(out)
		for s.Scan() {
			var e event
			if json.Unmarshal(s.Bytes(), &e) != nil {
				continue
			}
			f.mu.Lock()
			f.events = append(f.events, e)
			f.mu.Unlock()
			f.record.line("worker %s %s %s %s", e.Worker, e.Event, e.Request, e.Detail)
		}
		_ = cmd.Wait()
		f.record.line("process %s ended: %s", p.name, cmd.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

func value(args []string, name string) string {
	for i, a := range args {
		if a == name && i+1 < len(args) {
			return args[i+1]
		}
	}
	return ""
}

// allEvents returns what workers have reported so far.
func (f *fleet) allEvents() []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]event(nil), f.events...)
}

// answer is what a client got.
type answer struct {
	id       string
	sent     time.Time
	took     time.Duration
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// send sends a request on a new connection, as clients may, and never repeats it.
func (f *fleet) send(r *router, method, path, id string, body string, deadline time.Duration, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := answer{id: id, sent: time.Now()}
	f.record.line("client sends %s %s %s %s", id, method, path, r.name)
	a.err = func() error {
		var reader io.Reader
		if body != "" {
			reader = strings.NewReader(body)
		}
		q, err := http.NewRequestWithContext(ctx, method, "http://"+r.callers+path, reader)
		if err != nil {
			return err
		}
		q.Host = "app.example"
		q.Header.Set("Request-Id", id)
		q.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		q.Header.Set("Authorization", "Bearer key-one")
		for k, v := range header {
			q.Header.Set(k, v)
		}
		t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
		res, err := t.RoundTrip(q)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		a.status, a.header = res.StatusCode, res.Header
		text, err := io.ReadAll(res.Body)
		a.body, a.complete = string(text), err == nil
		return err
	}()
	a.took = time.Since(a.sent)
	text := fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
	switch {
	case a.err != nil:
		text += ", broken off: " + a.err.Error()
	case a.status == http.StatusServiceUnavailable:
		text += ", retry after " + a.header.Get("Retry-After") + ": " + strings.TrimSpace(a.body)
	}
	f.record.line("client gets %s after %d ms: %s", id, a.took.Milliseconds(), text)
	return a
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(c map[string]any) {
	text, _ := json.Marshal(c)
	revision := f.store.put("op/config", text, 0)
	f.record.line("operator writes configuration version %v, acknowledged at revision %d", c["version"], revision)
}
