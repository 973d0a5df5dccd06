package failure

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// The programs under test are built from these packages. Importing them
	// makes the test cache notice a change in them.
	_ "github.com/hemlockcroft/hemlockcroft/internal/host/daemon"
	_ "github.com/hemlockcroft/hemlockcroft/internal/operator/control"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/forward"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/hosts"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/kv"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/load"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/plain"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/weights"
)

const (
	secret     = "68656d6c6f636b2d6578616d706c6521"
	region     = "us-se"
	model      = "draft-8b"
	readyLimit = 40 * time.Second
)

var domains = []string{"dalton-a", "dalton-b", "dalton-c"}

// programs is the directory of the binaries under test.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hemlock")
	if err != nil {
		panic(err)
	}
	programs = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan error
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// wait returns the error of the process's end.
func (p *process) wait(limit time.Duration) error {
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(limit):
		return fmt.Errorf("still running after %s", limit)
	}
}

// node is one process of the fleet with its addresses.
type node struct {
	id, address, operators, callers, control, domain string
	store                                            string // control address of its forwarder to the store
	settings                                         string // file of a router's settings
	private                                          string // its own host list, if it has one
	inbound                                          string // control address of the forwarder before it, if it has one
	listed                                           string // address in the host list, if it is not address
	unlisted                                         bool   // the host list has no operators' address of it
	*process
}

// bench is a running fleet.
type bench struct {
	t       *testing.T
	dir     string
	nodes   map[string]*node
	routers []*node
	engines []*node
	plains  []*node
	keys    map[string]string
	loads   map[string]*process
	samples map[string]*sampler
	kv      string
	hosts   string
	mark    time.Time // of the latest change by a script
	version uint64    // of the configuration, as last read from the store
	answers map[string]*ordering
	follows map[string]*follower
}

// lastPort is the port given out last. Ports are below the range from which the
// system takes those of outgoing connections, so that no connection takes one
// before its process listens.
var lastPort atomic.Int32

func freeAddress(t *testing.T) string {
	lastPort.CompareAndSwap(0, int32(18000+os.Getpid()%28*500))
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t: t, dir: t.TempDir(), nodes: map[string]*node{}, keys: map[string]string{},
		loads: map[string]*process{}, samples: map[string]*sampler{}, answers: map[string]*ordering{}, follows: map[string]*follower{},
	}
	for _, w := range []string{"swatch-studio", "backorder-notes", "colorways"} {
		key, err := fleet.IssueKey([]byte(secret), w, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.keys[w] = key
	}
	t.Cleanup(b.close)
	return b
}

func (b *bench) run(name string, args ...string) *process {
	p := &process{log: &bytes.Buffer{}, done: make(chan error, 1)}
	p.cmd = exec.Command(filepath.Join(programs, name), args...)
	file, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	if err != nil {
		b.t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = io.MultiWriter(file, p.log), file
	if err := p.cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	go func() {
		p.done <- p.cmd.Wait()
		_ = file.Close()
	}()
	return p
}

func (b *bench) standin(name string, args ...string) *process {
	return b.run("hemlock-standin", append([]string{name}, args...)...)
}

// keepLogs names a directory for the logs of scripts that fail.
var keepLogs = flag.String("failure.logs", "", "directory for the logs of all processes of scripts that fail")

// keep copies the logs of a script that failed.
func (b *bench) keep() {
	if !b.t.Failed() || *keepLogs == "" {
		return
	}
	to := filepath.Join(*keepLogs, fmt.Sprintf("%s-%d", filepath.Base(b.t.Name()), time.Now().Unix()))
	if err := os.CopyFS(to, os.DirFS(b.dir)); err != nil {
		b.t.Errorf("keep logs: %v", err)
	}
}

// close ends what the bench started, by process.
func (b *bench) close() {
	defer b.keep()
	all := []*process{}
	for _, n := range b.nodes {
		all = append(all, n.process)
	}
	for _, p := range b.loads {
		all = append(all, p)
	}
	for _, p := range all {
		_ = p.signal(syscall.SIGCONT)
		_ = p.signal(syscall.SIGKILL)
		_ = p.wait(5 * time.Second)
	}
}

func (b *bench) add(n *node) *node {
	b.nodes[n.id] = n
	return n
}

// start brings up a platform, upstreams and routers and waits until all
// routers are ready and all upstreams are owned at the full limit.
func (b *bench) start(o options) string {
	kv := b.add(&node{id: "kv", address: freeAddress(b.t)})
	kv.process = b.standin("kv", "--listen", kv.address)
	b.kv = kv.address
	list := b.add(&node{id: "hosts", address: freeAddress(b.t)})
	list.process = b.standin("hosts", "--listen", list.address)
	b.hosts = list.address
	var weights []string
	if o["weights"] != "" {
		n := b.add(&node{id: "weights", address: freeAddress(b.t)})
		n.process = b.standin("weights", "--listen", n.address, "--limit", o["weights"])
		weights = []string{"--weights", "http://" + n.address}
	}
	for i := range o.number("engines", 9) {
		n := b.add(&node{id: fmt.Sprintf("drafter-%d", i+1), address: freeAddress(b.t), domain: domains[i%3]})
		args := append([]string{"--listen", n.address, "--model", model}, weights...)
		if flags := o["engine"]; flags != "" {
			args = append(args, strings.Split(flags, ",")...)
		}
		if flags := o["first"]; flags != "" && i < o.number("firsts", 1) {
			args = append(args, strings.Split(flags, ",")...)
		}
		n.process = b.standin("engine", args...)
		if o["before"] == n.id {
			n.listed = b.forwarder("before-"+n.id, freeAddress(b.t), n.address).address
		}
		b.engines = append(b.engines, n)
	}
	for i := range o.number("plain", 3) {
		n := b.add(&node{id: fmt.Sprintf("orderdesk-%d", i+1), address: freeAddress(b.t), domain: domains[i%3]})
		n.process = b.standin("plain", "--listen", n.address, "--name", n.id)
		b.plains = append(b.plains, n)
	}
	for i := range o.number("routers", 9) {
		b.startRouter(fmt.Sprintf("router-%d", i+1), domains[i%3], o)
	}
	b.await(func() error { return b.get(b.kv, "/calls", nil) })
	b.await(func() error { return b.get(b.hosts, "/hosts", nil) })
	for _, n := range slices.Concat(b.engines, b.plains) {
		b.await(func() error { return b.get(n.address, "/executions", nil) })
	}
	b.publish(b.hosts, "")
	for _, n := range b.routers {
		if n.private != "" {
			b.publish(n.private, "")
		}
	}
	doc := filepath.Join(b.dir, "fleet.ini")
	if err := os.WriteFile(doc, []byte("[defaults]\n"+strings.ReplaceAll(o["fleet"], ",", "\n")+"\n"), 0o600); err != nil {
		b.t.Fatal(err)
	}
	if out, err := b.ctl("config", "init", doc); err != nil {
		b.t.Fatalf("hemlockctl: %v\n%s", err, out)
	}
	if o["settle"] != "no" {
		b.await(b.settled)
	}
	return "ready"
}

// forwarder starts a forwarder with a control address.
func (b *bench) forwarder(id, listen, to string) *node {
	n := b.add(&node{id: id, address: listen, control: freeAddress(b.t)})
	n.process = b.standin("forward", "--listen", listen, "--to", to, "--control", n.control)
	return n
}

// startRouter starts a router behind a forwarder for its store, so that it can
// be cut off alone. The router that the option private names also has a host list of its own
// and a forwarder before its address for routers.
func (b *bench) startRouter(id, domain string, o options) {
	store := b.forwarder("store-of-"+id, freeAddress(b.t), b.kv)
	n := b.add(&node{
		id: id, domain: domain, address: freeAddress(b.t), operators: freeAddress(b.t), callers: freeAddress(b.t), store: store.control,
	})
	hosts, listen := b.hosts, n.address
	if id == o["private"] {
		listen = freeAddress(b.t)
		n.inbound = b.forwarder("before-"+id, n.address, listen).control
		n.private = freeAddress(b.t)
		hosts = n.private
		p := b.add(&node{id: "hosts-of-" + id, address: n.private})
		p.process = b.standin("hosts", "--listen", n.private)
	}
	settings := fmt.Sprintf("[daemon]\nid = %s\nfailure_domain = %s\nregion = %s\ncallers = %s\nrouters = %s\noperators = %s\nkey_secret = %s\n"+
		"[platform]\nstore = http://%s\nhosts = http://%s/hosts\nbalancer_lag = 1s\n[limits]\nfreshness = %s\nengine_silence = %s\n",
		id, domain, region, n.callers, listen, n.operators, secret, store.address, hosts, cmp.Or(o["freshness"], "4s"), cmp.Or(o["engine-silence"], "9s"))
	n.settings = filepath.Join(b.dir, id+".ini")
	if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
		b.t.Fatal(err)
	}
	n.process = b.run("hemlockd", n.settings)
	b.routers = append(b.routers, n)
}

// nowhere is an address where nothing listens.
const nowhere = "127.0.0.1:1"

// publish writes the list of all nodes to a host list; with unreachable set,
// routers are listed at addresses where nothing listens.
func (b *bench) publish(list, unreachable string) {
	type target struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	var all []target
	add := func(nodes []*node, kind, service, model string) {
		for _, n := range nodes {
			address, operators := cmp.Or(n.listed, n.address), n.operators
			if n.unlisted && unreachable == "" {
				operators = nowhere
			}
			if unreachable != "" && kind == "router" && n.id != unreachable {
				address = nowhere
			}
			all = append(all, target{[]string{address}, map[string]string{
				"id": n.id, "kind": kind, "service": service, "model": model, "failure_domain": n.domain,
				"region": region, "state": "live", "operators": operators,
			}})
		}
	}
	add(b.engines, "engine", "drafter", model)
	add(b.plains, "plain", "orderdesk", "")
	add(b.routers, "router", "", "")
	if err := b.send(http.MethodPut, list, "/hosts", all); err != nil {
		b.t.Fatal(err)
	}
}

// status is what a router tells operators.
type status struct {
	Owned     []string  `json:"owned"`
	Live      []string  `json:"live"`
	FullLimit bool      `json:"full_limit"`
	Version   uint64    `json:"version"`
	Fresh     bool      `json:"fresh"`
	ListTime  time.Time `json:"host_list_time"`
}

// settled returns nil if every upstream has one owner at the full limit and
// every router is ready.
func (b *bench) settled() error {
	owned := 0
	for _, n := range b.routers {
		var s status
		if err := b.get(n.operators, "/status", &s); err != nil {
			return err
		}
		if !s.Fresh || !s.FullLimit || s.Version == 0 {
			return fmt.Errorf("%s is not ready", n.id)
		}
		owned += len(s.Owned)
	}
	if owned != len(b.engines)+len(b.plains) {
		return fmt.Errorf("%d upstreams are owned", owned)
	}
	return nil
}

// owner returns the router that owns an upstream.
func (b *bench) owner(upstream string) *node {
	for _, n := range b.routers {
		var s status
		if b.get(n.operators, "/status", &s) != nil {
			continue
		}
		for _, id := range s.Owned {
			if id == upstream {
				return n
			}
		}
	}
	b.t.Fatalf("nobody owns %s", upstream)
	return nil
}

func (b *bench) await(ready func() error) {
	deadline := time.Now().Add(readyLimit)
	for {
		err := ready()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			b.t.Fatalf("not ready after %s: %v", readyLimit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

func (b *bench) get(address, path string, into any) error {
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", address, path, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func (b *bench) send(method, address, path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		out, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s %s%s: %s %s", method, address, path, resp.Status, out)
	}
	return nil
}

// ctl runs hemlockctl against the store itself.
func (b *bench) ctl(args ...string) (string, error) {
	return b.ctlStore(append([]string{"--hosts", "http://" + b.hosts + "/hosts"}, args...)...)
}

// ctlStore runs hemlockctl without the host list.
func (b *bench) ctlStore(args ...string) (string, error) {
	all := append([]string{"--store", "http://" + b.kv}, args...)
	out, err := exec.Command(filepath.Join(programs, "hemlockctl"), all...).CombinedOutput()
	return string(out), err
}
