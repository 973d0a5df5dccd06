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

	// The programs under test are built from these packages. The imports make
	// changes in them invalidate cached test results.
	_ "github.com/hemlockcroft/hemlockcroft/internal/host/daemon"
	_ "github.com/hemlockcroft/hemlockcroft/internal/operator/ctl"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/forward"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/hosts"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/kv"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/loadgen"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/plain"
	_ "github.com/hemlockcroft/hemlockcroft/internal/standin/weights"
)

const (
	keySecret    = "68656d6c6f636b2d6578616d706c6521"
	region       = "us-se"
	model        = "draft-8b"
	readyTimeout = 40 * time.Second
)

var domains = []string{"dalton-a", "dalton-b", "dalton-c"}

// programDir is the directory of the binaries under test.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hemlock")
	if err != nil {
		panic(err)
	}
	programDir = dir
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
	cmd    *exec.Cmd
	output *bytes.Buffer
	exit   chan error
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// waitForExit waits until the process exits and returns the error of cmd.Wait.
func (p *process) waitForExit(timeout time.Duration) error {
	select {
	case err := <-p.exit:
		p.exit <- err
		return err
	case <-time.After(timeout):
		return fmt.Errorf("still running after %s", timeout)
	}
}

// node is one process of the fleet with its addresses.
type node struct {
	id, address, operatorsAddress, callersAddress, controlAddress, domain string
	storeControl                                                          string // control address of the forwarder between a router and the store
	settingsFile                                                          string // path of a router's settings file
	ownHostList                                                           string // address of the router's own host list, if it has one
	inboundControl                                                        string // control address of the forwarder in front of it, if there is one
	listedAddress                                                         string // address in the host list, if it differs from address
	operatorsUnlisted                                                     bool   // the host list contains closedAddress as its operators' address
	*process
}

// harness runs a fleet for one script.
type harness struct {
	t                   *testing.T
	workDir             string
	nodes               map[string]*node
	routers             []*node
	engines             []*node
	plainWorkers        []*node
	apiKeys             map[string]string
	loadGenerators      map[string]*process
	loadControls        map[string]string // control addresses of the load generators
	interrupted         map[string]int    // by load, streams in progress at routers that were killed
	loadSamplers        map[string]*loadSampler
	storeAddress        string
	hostListAddress     string
	lastChange          time.Time // time of the script's latest change
	storedConfigVersion uint64    // configuration version last read from the store
	orderBatches        map[string]*orderBatch
	versionMonitors     map[string]*versionMonitor
}

// lastPort is the port allocated last. Ports are below the ephemeral port range, so
// that no outgoing connection uses a port before its process listens on it.
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

func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, workDir: t.TempDir(), nodes: map[string]*node{}, apiKeys: map[string]string{},
		loadGenerators: map[string]*process{}, loadControls: map[string]string{}, interrupted: map[string]int{}, loadSamplers: map[string]*loadSampler{}, orderBatches: map[string]*orderBatch{}, versionMonitors: map[string]*versionMonitor{},
	}
	for _, w := range []string{"swatch-studio", "backorder-notes", "colorways"} {
		key, err := fleetconfig.IssueKey([]byte(keySecret), w, 1)
		if err != nil {
			t.Fatal(err)
		}
		h.apiKeys[w] = key
	}
	t.Cleanup(h.close)
	return h
}

func (h *harness) startProgram(name string, args ...string) *process {
	p := &process{output: &bytes.Buffer{}, exit: make(chan error, 1)}
	p.cmd = exec.Command(filepath.Join(programDir, name), args...)
	file, err := os.Create(filepath.Join(h.workDir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	if err != nil {
		h.t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = io.MultiWriter(file, p.output), file
	if err := p.cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	go func() {
		p.exit <- p.cmd.Wait()
		_ = file.Close()
	}()
	return p
}

func (h *harness) startFake(name string, args ...string) *process {
	return h.startProgram("hemlock-standin", append([]string{name}, args...)...)
}

// failedLogsDir is the directory for the logs of failed scripts, empty to discard
// them.
var failedLogsDir = flag.String("failure.logs", "", "directory for the logs of all processes of scripts that fail")

// saveLogs copies the logs of a failed script to failedLogsDir.
func (h *harness) saveLogs() {
	if !h.t.Failed() || *failedLogsDir == "" {
		return
	}
	dir := filepath.Join(*failedLogsDir, fmt.Sprintf("%s-%d", filepath.Base(h.t.Name()), time.Now().Unix()))
	if err := os.CopyFS(dir, os.DirFS(h.workDir)); err != nil {
		h.t.Errorf("save logs: %v", err)
	}
}

// close kills the processes that the harness started.
func (h *harness) close() {
	defer h.saveLogs()
	processes := []*process{}
	for _, n := range h.nodes {
		processes = append(processes, n.process)
	}
	for _, p := range h.loadGenerators {
		processes = append(processes, p)
	}
	for _, p := range processes {
		_ = p.signal(syscall.SIGCONT)
		_ = p.signal(syscall.SIGKILL)
		_ = p.waitForExit(5 * time.Second)
	}
}

func (h *harness) addNode(n *node) *node {
	h.nodes[n.id] = n
	return n
}

// startFleet starts the platform, upstreams and routers and writes the first
// configuration. Unless settle=no it then waits for checkSettled.
func (h *harness) startFleet(o options) string {
	kv := h.addNode(&node{id: "kv", address: freeAddress(h.t)})
	kv.process = h.startFake("kv", "--listen", kv.address)
	h.storeAddress = kv.address
	hostList := h.addNode(&node{id: "hosts", address: freeAddress(h.t)})
	hostList.process = h.startFake("hosts", "--listen", hostList.address)
	h.hostListAddress = hostList.address
	var weights []string
	if o["weights"] != "" {
		n := h.addNode(&node{id: "weights", address: freeAddress(h.t)})
		n.process = h.startFake("weights", "--listen", n.address, "--limit", o["weights"])
		weights = []string{"--weights", "http://" + n.address}
	}
	for i := range o.intOr("engines", 9) {
		n := h.addNode(&node{id: fmt.Sprintf("drafter-%d", i+1), address: freeAddress(h.t), domain: domains[i%3]})
		args := append([]string{"--listen", n.address, "--model", model}, weights...)
		if flags := o["engine"]; flags != "" {
			args = append(args, strings.Split(flags, ",")...)
		}
		if flags := o["first"]; flags != "" && i < o.intOr("firsts", 1) {
			args = append(args, strings.Split(flags, ",")...)
		}
		n.process = h.startFake("engine", args...)
		if o["before"] == n.id {
			n.listedAddress = h.startForwarder("before-"+n.id, freeAddress(h.t), n.address).address
		}
		h.engines = append(h.engines, n)
	}
	for i := range o.intOr("plain", 3) {
		n := h.addNode(&node{id: fmt.Sprintf("orderdesk-%d", i+1), address: freeAddress(h.t), domain: domains[i%3]})
		n.process = h.startFake("plain", "--listen", n.address, "--name", n.id)
		h.plainWorkers = append(h.plainWorkers, n)
	}
	for i := range o.intOr("routers", 9) {
		h.startRouter(fmt.Sprintf("router-%d", i+1), domains[i%3], o)
	}
	h.waitUntil(func() error { return h.getJSON(h.storeAddress, "/calls", nil) })
	h.waitUntil(func() error { return h.getJSON(h.hostListAddress, "/hosts", nil) })
	for _, n := range slices.Concat(h.engines, h.plainWorkers) {
		h.waitUntil(func() error { return h.getJSON(n.address, "/executions", nil) })
	}
	h.publishHostList(h.hostListAddress, "")
	for _, n := range h.routers {
		if n.ownHostList != "" {
			h.publishHostList(n.ownHostList, "")
		}
	}
	configFile := filepath.Join(h.workDir, "fleet.ini")
	if err := os.WriteFile(configFile, []byte("[defaults]\n"+strings.ReplaceAll(o["fleet"], ",", "\n")+"\n"), 0o600); err != nil {
		h.t.Fatal(err)
	}
	if output, err := h.runCtl("config", "init", configFile); err != nil {
		h.t.Fatalf("hemlockctl: %v\n%s", err, output)
	}
	if o["settle"] != "no" {
		h.waitUntil(h.checkSettled)
	}
	return "ready"
}

// startForwarder starts a forwarder with a control address.
func (h *harness) startForwarder(id, listen, target string) *node {
	n := h.addNode(&node{id: id, address: listen, controlAddress: freeAddress(h.t)})
	n.process = h.startFake("forward", "--listen", listen, "--to", target, "--control", n.controlAddress)
	return n
}

// startRouter starts a router that reaches the store through its own forwarder, so
// that the store can become unreachable for this router alone. The router that the
// option private names also gets its own host list and a forwarder in front of its
// address for other routers.
func (h *harness) startRouter(id, domain string, o options) {
	store := h.startForwarder("store-of-"+id, freeAddress(h.t), h.storeAddress)
	n := h.addNode(&node{
		id: id, domain: domain, address: freeAddress(h.t), operatorsAddress: freeAddress(h.t), callersAddress: freeAddress(h.t), storeControl: store.controlAddress,
	})
	hosts, listen := h.hostListAddress, n.address
	if id == o["private"] {
		listen = freeAddress(h.t)
		n.inboundControl = h.startForwarder("before-"+id, n.address, listen).controlAddress
		n.ownHostList = freeAddress(h.t)
		hosts = n.ownHostList
		p := h.addNode(&node{id: "hosts-of-" + id, address: n.ownHostList})
		p.process = h.startFake("hosts", "--listen", n.ownHostList)
	}
	settings := fmt.Sprintf("[daemon]\nid = %s\nfailure_domain = %s\nregion = %s\ncallers = %s\nrouters = %s\noperators = %s\nkey_secret = %s\n"+
		"[platform]\nstore = http://%s\nhosts = http://%s/hosts\nbalancer_lag = 1s\n[limits]\nfreshness = %s\nengine_silence = %s\n",
		id, domain, region, n.callersAddress, listen, n.operatorsAddress, keySecret, store.address, hosts, cmp.Or(o["freshness"], "4s"), cmp.Or(o["engine-silence"], "9s"))
	n.settingsFile = filepath.Join(h.workDir, id+".ini")
	if err := os.WriteFile(n.settingsFile, []byte(settings), 0o600); err != nil {
		h.t.Fatal(err)
	}
	n.process = h.startProgram("hemlockd", n.settingsFile)
	h.routers = append(h.routers, n)
}

// closedAddress is an address where nothing listens.
const closedAddress = "127.0.0.1:1"

// publishHostList writes all nodes to the host list service at hostList. If
// onlyReachable is set, all routers but that one get closedAddress.
func (h *harness) publishHostList(hostList, onlyReachable string) {
	type target struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	var targets []target
	add := func(nodes []*node, kind, service, model string) {
		for _, n := range nodes {
			address, operators := cmp.Or(n.listedAddress, n.address), n.operatorsAddress
			if n.operatorsUnlisted && onlyReachable == "" {
				operators = closedAddress
			}
			if onlyReachable != "" && kind == "router" && n.id != onlyReachable {
				address = closedAddress
			}
			targets = append(targets, target{[]string{address}, map[string]string{
				"id": n.id, "kind": kind, "service": service, "model": model, "failure_domain": n.domain,
				"region": region, "state": "live", "operators": operators,
			}})
		}
	}
	add(h.engines, "engine", "drafter", model)
	add(h.plainWorkers, "plain", "orderdesk", "")
	add(h.routers, "router", "", "")
	if err := h.sendJSON(http.MethodPut, hostList, "/hosts", targets); err != nil {
		h.t.Fatal(err)
	}
}

// status is a router's response to /status at its operators' address.
type status struct {
	Owned     []string  `json:"owned"`
	Live      []string  `json:"live"`
	FullLimit bool      `json:"full_limit"`
	Version   uint64    `json:"version"`
	Fresh     bool      `json:"fresh"`
	ListTime  time.Time `json:"host_list_time"`
}

// checkSettled returns an error unless all routers are ready, have a configuration
// and admit up to the full limit, and all upstreams have an owner.
func (h *harness) checkSettled() error {
	owned := 0
	for _, n := range h.routers {
		var s status
		if err := h.getJSON(n.operatorsAddress, "/status", &s); err != nil {
			return err
		}
		if !s.Fresh || !s.FullLimit || s.Version == 0 {
			return fmt.Errorf("%s is not ready", n.id)
		}
		owned += len(s.Owned)
	}
	if owned != len(h.engines)+len(h.plainWorkers) {
		return fmt.Errorf("%d upstreams are owned", owned)
	}
	return nil
}

// ownerOf returns the router that owns an upstream.
func (h *harness) ownerOf(upstream string) *node {
	for _, n := range h.routers {
		var s status
		if h.getJSON(n.operatorsAddress, "/status", &s) != nil {
			continue
		}
		for _, id := range s.Owned {
			if id == upstream {
				return n
			}
		}
	}
	h.t.Fatalf("no router owns %s", upstream)
	return nil
}

func (h *harness) waitUntil(condition func() error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			h.t.Fatalf("not ready after %s: %v", readyTimeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

func (h *harness) getJSON(address, path string, response any) error {
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", address, path, resp.Status)
	}
	if response == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(response)
}

func (h *harness) sendJSON(method, address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(body))
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
		responseBody, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s %s%s: %s %s", method, address, path, resp.Status, responseBody)
	}
	return nil
}

// runCtl runs hemlockctl with the addresses of the store and the host list.
func (h *harness) runCtl(args ...string) (string, error) {
	return h.runCtlWithoutHostList(append([]string{"--hosts", "http://" + h.hostListAddress + "/hosts"}, args...)...)
}

// runCtlWithoutHostList runs hemlockctl with the address of the store only.
func (h *harness) runCtlWithoutHostList(args ...string) (string, error) {
	allArgs := append([]string{"--store", "http://" + h.storeAddress}, args...)
	out, err := exec.Command(filepath.Join(programDir, "hemlockctl"), allArgs...).CombinedOutput()
	return string(out), err
}
