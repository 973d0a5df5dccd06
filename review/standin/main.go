// Command standin runs one case of the review: it starts the routers as processes, and
// stand-ins of the platform's store, of workers and of clients, and checks a rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// setup is what a case starts and uses.
type setup struct {
	*record
	root    string
	folder  string
	trouble bool

	mu       sync.Mutex
	store    *store
	routers  []*router
	workers  []*worker
	finished bool
}

// cases maps the name of a case to its function, which reports whether the rule was
// broken.
var cases = map[string]func(*setup) (bool, error){
	"parts": partsCase, "budget": budgetCase, "bodies": bodiesCase, "stream": streamCase, "tenants": tenantsCase, "leaving": leavingCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s := &setup{record: r, root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	defer os.RemoveAll(folder)
	if keep := os.Getenv("LOGS"); keep != "" {
		defer s.keepLogs(keep)
	}
	defer s.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		s.stopAll()
		_ = os.RemoveAll(folder)
		os.Exit(failed)
	}()
	isBroken, err := cases[name](s)
	switch {
	case err != nil:
		s.say("the case could not run: %v", err)
		return failed
	case isBroken:
		s.say("RULE BROKEN")
		return broken
	}
	s.say("the rule held")
	return held
}

// keepLogs copies the logs of the routers to a folder.
func (s *setup) keepLogs(to string) {
	paths, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, p := range paths {
		if text, err := os.ReadFile(p); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(p)), text, 0o644)
		}
	}
}

func (s *setup) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	for _, p := range s.routers {
		p.stop()
	}
	for _, k := range s.workers {
		k.stop()
	}
	if s.store != nil {
		s.store.stop()
	}
}

var errFinished = errors.New("the case was stopped")

// start starts the store with a configuration, and routers, one in each zone in turn.
// The workers are started by addWorker before.
func (s *setup) startStore(configuration object) error {
	st, err := startStore()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.store = st
	s.mu.Unlock()
	s.configure(configuration)
	return nil
}

// configure writes a configuration as the operator does and returns the time of the
// acknowledgement.
func (s *setup) configure(configuration object) time.Time {
	s.store.put("op/config", configuration)
	at := time.Now()
	s.line("the store acknowledged configuration %v", configuration["version"])
	return at
}

func (s *setup) addWorker(id, service, zone string, slots, queue int, engine bool, run job) (*worker, error) {
	k, err := startWorker(s.record, s.store, id, service, zone, slots, queue, engine, run)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, k)
	return k, nil
}

var zones = []string{"dalton-a", "dalton-b", "dalton-c"}

// startRouters starts n routers and waits until all are ready and know each other.
func (s *setup) startRouters(n int) error {
	for i := range n {
		zone := zones[i%len(zones)]
		s.mu.Lock()
		if s.finished {
			s.mu.Unlock()
			return errFinished
		}
		p, err := startRouter(s.record, s.root, s.folder, fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, s.store.address)
		if err == nil {
			s.routers = append(s.routers, p)
		}
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for _, p := range s.routers {
		if err := p.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	// The routers list each other half a second after their start.
	time.Sleep(3 * time.Second)
	return nil
}

func (s *setup) client(name string, p *router) *client {
	return &client{name: name, address: p.callers, record: s.record}
}

// service returns the service of a configuration.
func service(name string, engine bool) object {
	d := object{"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
	if engine {
		d["engine"] = object{"slots": 64, "kv_tokens": 445152, "models": []object{{"name": "m"}}}
	}
	return d
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeoutMS, goalMS, attempts int, public bool) object {
	d := object{
		"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "goal_latency_ms": goalMS, "priority": 1,
		"service": service, "max_attempts": attempts, "public": public, "sticky": false,
	}
	if kind == "stream" {
		d["can_resume"], d["gap_aim_ms"] = true, 300
	}
	return d
}

// configuration returns an operator's configuration.
func configuration(version int, routes, services []object) object {
	return object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
