package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones are the failure domains of the small deployment.
var zones = []string{"dalton-a", "dalton-b", "dalton-c"}

// router is one process of the project's program.
type router struct {
	name, zone, ip, front, ready, peers, metrics string
	settings                                     string
	log                                          *os.File
	cmd                                          *exec.Cmd
	ended                                        chan struct{}
}

// fleet is a store with routers.
type fleet struct {
	rec     *record
	dir     string
	program string
	st      *store
	routers []*router
	workers []*worker
	nextIP  int
}

func newFleet(rec *record, program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, program: program}
	f.st, err = startStore(rec, f.ip())
	return f, err
}

// ip returns another loopback address of this process.
func (f *fleet) ip() string {
	f.nextIP++
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+f.nextIP/200, 1+f.nextIP%200)
}

// freeAddresses returns addresses with ports that are free for TCP and UDP.
func freeAddresses(ip string, n int) ([]string, error) {
	var list []string
	for len(list) < n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		u, err := net.ListenPacket("udp4", l.Addr().String())
		if err != nil {
			continue
		}
		defer u.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// settings renders the project's template for a machine of the small deployment.
func (f *fleet) settings(r *router) string {
	return fmt.Sprintf(`[host]
name = %s
failure_domain = %s

[failure_domains]
dalton-a = us-se
dalton-b = us-se
dalton-c = us-se

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

[rollout]

[shedding]
enabled = true
`, r.name, r.zone, r.front, r.ready, r.peers, r.metrics, f.st.address)
}

// addRouters starts a number of routers.
func (f *fleet) addRouters(n int) error {
	for i := range n {
		ip := f.ip()
		r := &router{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)], ip: ip}
		a, err := freeAddresses(ip, 4)
		if err != nil {
			return err
		}
		r.front, r.ready, r.peers, r.metrics = a[0], a[1], a[2], a[3]
		r.settings = filepath.Join(f.dir, r.name+".ini")
		if err := os.WriteFile(r.settings, []byte(f.settings(r)), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.dir, r.name+".log"))
		if err != nil {
			return err
		}
		r.log = log
		f.routers = append(f.routers, r)
		if err := f.start(r); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a router with the command of the deploy file.
func (f *fleet) start(r *router) error {
	r.cmd = exec.Command(f.program)
	r.cmd.Env = []string{"HEMLOCKCROFT_SETTINGS=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C"}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	// The router ends with this process.
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	f.rec.printf("router %s started, process %d, clients at %s", r.name, r.cmd.Process.Pid, r.front)
	r.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		err := c.Wait()
		f.rec.printf("router %s ended: %v", r.name, err)
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

func (r *router) signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

func (r *router) alive() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
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
	end := time.Now().Add(15 * time.Second)
	for _, r := range f.routers {
		for !r.isReady() {
			if time.Now().After(end) {
				text, _ := os.ReadFile(r.log.Name())
				f.rec.printf("log of %s:\n%s", r.name, text[:min(len(text), 4000)])
				return fmt.Errorf("router %s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) addWorker(id, service, zone string, slots int, serve func(c *call) bool) (*worker, error) {
	w, err := startWorker(f.rec, f.st, id, service, zone, f.ip(), slots, serve)
	if err == nil {
		f.workers = append(f.workers, w)
	}
	return w, err
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, r := range f.routers {
		if r.cmd != nil && r.alive() {
			r.signal(syscall.SIGCONT)
			r.signal(syscall.SIGKILL)
			<-r.ended
		}
		_ = r.log.Close()
	}
	for _, w := range f.workers {
		w.close()
	}
	f.st.close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, r := range f.routers {
			text, _ := os.ReadFile(r.log.Name())
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(r.log.Name())), text, 0o600)
		}
	}
	_ = os.RemoveAll(f.dir)
}

// config returns a configuration like that of the small deployment: one host, a stream
// route to the engines that may be resumed, one that may not, and the routes of the desk.
func config(version int, tenants map[string][]string) map[string]any {
	route := func(name, kind, service string, more map[string]any) map[string]any {
		m := map[string]any{"name": name, "host": "desk.example", "prefix": "/" + name + "/", "kind": kind, "service": service, "public": false, "priority": 1}
		for k, v := range more {
			m[k] = v
		}
		return m
	}
	list := []any{}
	for name, keys := range tenants {
		list = append(list, map[string]any{"name": name, "api_keys": keys, "priority": 1})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("kit", "stream", "drafter", map[string]any{"timeout_ms": 4000, "goal_latency_ms": 500, "gap_aim_ms": 300, "max_attempts": 2, "sticky": true, "can_resume": true}),
			route("digest", "stream", "drafter", map[string]any{"timeout_ms": 2500, "goal_latency_ms": 800, "gap_aim_ms": 300, "max_attempts": 1, "sticky": true, "can_resume": false}),
			route("hint", "stream", "drafter", map[string]any{"timeout_ms": 10000, "goal_latency_ms": 1000, "gap_aim_ms": 300, "max_attempts": 2, "sticky": true, "can_resume": true}),
			route("order", "unsafe", "orderdesk", map[string]any{"timeout_ms": 800, "goal_latency_ms": 100, "max_attempts": 1, "sticky": false, "can_resume": false}),
			route("lookup", "safe", "orderdesk", map[string]any{"timeout_ms": 800, "goal_latency_ms": 100, "max_attempts": 2, "sticky": false, "can_resume": false}),
		},
		"services": []any{
			map[string]any{"name": "drafter", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 17.0, "engine": map[string]any{
				"slots": 64, "kv_tokens": 445152, "kv_token_bytes": 35136, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 7, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "orderdesk", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": list,
	}
}

// grep returns the lines of the routers' logs that contain a text.
func (f *fleet) grep(text string) (n int) {
	for _, r := range f.routers {
		b, _ := os.ReadFile(r.log.Name())
		n += strings.Count(string(b), text)
	}
	return n
}
