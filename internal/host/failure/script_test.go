package failure

import (
	"bufio"
	"fmt"
	"net/http"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
)

// options are the key=value arguments of a script command.
type options map[string]string

func (o options) intOr(key string, defaultValue int) int {
	if n, err := strconv.Atoi(o[key]); err == nil {
		return n
	}
	return defaultValue
}

// coresPerFleet is the number of cores per fleet with which concurrent fleets do
// not delay each other beyond the time limits of the scripts.
const coresPerFleet = 3

// fleetSlots limits the number of concurrent fleets.
var fleetSlots = make(chan struct{}, min(3, max(1, runtime.NumCPU()/coresPerFleet)))

// TestFailures runs each script of testdata against its own fleet. The head of a
// script states the property that it checks.
func TestFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	files, err := filepath.Glob("testdata/*")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			fleetSlots <- struct{}{}
			t.Cleanup(func() { <-fleetSlots })
			h := newHarness(t)
			datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
				h.t = t
				return h.runCommand(d) + "\n"
			})
		})
	}
}

// runCommand runs one command of a script and returns its output, which the script
// compares with the expected one.
func (h *harness) runCommand(d *datadriven.TestData) string {
	o := options{}
	var words []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			words = append(words, a.Key)
		}
		o[a.Key] = strings.Join(a.Vals, ",")
	}
	run, ok := scriptCommands[d.Cmd]
	if !ok {
		h.t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return run(h, o, words, d.Input)
}

var scriptCommands = map[string]func(h *harness, o options, words []string, input string) string{
	"start":      func(h *harness, o options, _ []string, _ string) string { return h.startFleet(o) },
	"load":       func(h *harness, o options, _ []string, _ string) string { return h.startLoad(o) },
	"wait":       func(h *harness, o options, _ []string, input string) string { return h.checkLoad(o, input) },
	"orders":     func(h *harness, o options, _ []string, _ string) string { return h.sendOrders(o) },
	"ordered":    func(h *harness, o options, _ []string, input string) string { return h.checkOrders(o, input) },
	"sample":     func(h *harness, o options, _ []string, _ string) string { return h.startSampling(o) },
	"sampled":    func(h *harness, o options, _ []string, input string) string { return h.checkSamples(o, input) },
	"freeze":     func(h *harness, o options, _ []string, _ string) string { return h.signalNode(o, syscall.SIGSTOP) },
	"thaw":       func(h *harness, o options, _ []string, _ string) string { return h.signalNode(o, syscall.SIGCONT) },
	"kill":       func(h *harness, o options, _ []string, _ string) string { return h.signalNode(o, syscall.SIGKILL) },
	"stop":       stopNode,
	"fault":      setFaults,
	"store-cut":  func(h *harness, o options, _ []string, _ string) string { return h.setStoreFaults(o, true) },
	"store-back": func(h *harness, o options, _ []string, _ string) string { return h.setStoreFaults(o, false) },
	"isolate":    isolateRouter,
	"ctl":        func(h *harness, o options, _ []string, input string) string { return h.runCtlCommand(o, input) },
	"versions":   waitForVersions,
	"started":    checkStarted,
	"last-start": checkLastStart,
	"overloaded": checkOverloads,
	"silenced":   checkBlackholed,
	"arrival":    waitForConfigUpdates,
	"models":     checkModels,
	"follow":     func(h *harness, o options, _ []string, _ string) string { return h.startVersionMonitor(o) },
	"followed":   func(h *harness, o options, _ []string, input string) string { return h.checkVersionMonitor(o, input) },
	"race":       func(h *harness, _ options, _ []string, input string) string { return h.runConcurrently(input) },
	"router":     addRouter,
	"roll":       func(h *harness, _ options, _ []string, _ string) string { return h.restartRouters() },
	"host":       setHostState,
	"sleep": func(_ *harness, o options, _ []string, _ string) string {
		time.Sleep(time.Duration(o.intOr("ms", 1000)) * time.Millisecond)
		return "ok"
	},
	"settle": func(h *harness, _ options, _ []string, _ string) string {
		h.waitUntil(h.checkSettled)
		return "ok"
	},
}

// targetNode returns the node that the option node names, or the owner of the
// upstream in the option owner-of, which it also stores as the nodes "owner" and
// "owner-of-UPSTREAM" for later commands.
func (h *harness) targetNode(o options) *node {
	if upstream := o["owner-of"]; upstream != "" {
		owner := h.ownerOf(upstream)
		h.nodes["owner"], h.nodes["owner-of-"+upstream] = owner, owner
		return owner
	}
	n := h.nodes[o["node"]]
	if n == nil {
		h.t.Fatalf("no node %q", o["node"])
	}
	return n
}

// signalNode sends a signal to a process. With the option streaming, it first pauses
// the router at a time when streams of the named load are in progress there.
func (h *harness) signalNode(o options, s syscall.Signal) string {
	n := h.targetNode(o)
	if o["streaming"] != "" {
		h.pauseWithStreams(o["streaming"], n)
	}
	h.lastChange = time.Now()
	if err := n.signal(s); err != nil {
		h.t.Fatal(err)
	}
	if s == syscall.SIGKILL {
		h.routers = slices.DeleteFunc(h.routers, func(r *node) bool { return r == n })
		h.engines = slices.DeleteFunc(h.engines, func(r *node) bool { return r == n })
	}
	return "ok"
}

// stopNode sends SIGTERM and checks that the process exits with status 0.
func stopNode(h *harness, o options, _ []string, _ string) string {
	n := h.targetNode(o)
	if err := n.signal(syscall.SIGTERM); err != nil {
		h.t.Fatal(err)
	}
	if err := n.waitForExit(60 * time.Second); err != nil {
		return err.Error()
	}
	h.routers = slices.DeleteFunc(h.routers, func(r *node) bool { return r == n })
	return "ok"
}

// setFaults posts the faults in the input, a JSON object, to a fake.
func setFaults(h *harness, o options, _ []string, input string) string {
	n := h.targetNode(o)
	h.lastChange = time.Now()
	address := n.address
	if n.controlAddress != "" {
		address = n.controlAddress
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/faults", strings.NewReader(input))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return "ok"
}

// setStoreFaults makes the store unreachable, or reachable again, for the router
// that the options name or for all routers.
func (h *harness) setStoreFaults(o options, unreachable bool) string {
	routers := h.routers
	if o["node"] != "" || o["owner-of"] != "" {
		routers = []*node{h.targetNode(o)}
	}
	for _, n := range routers {
		if err := h.sendJSON(http.MethodPost, n.storeControl, "/faults", map[string]bool{"cut": unreachable, "block": unreachable}); err != nil {
			h.t.Fatal(err)
		}
	}
	return "ok"
}

// isolateRouter disconnects the router with its own host list from the store, from
// all other routers and from operators. It still serves callers and reaches
// upstreams.
func isolateRouter(h *harness, o options, _ []string, _ string) string {
	n := h.targetNode(o)
	n.operatorsUnlisted = true
	h.publishHostList(h.hostListAddress, "")
	faults := map[string]bool{"cut": true, "block": true}
	if err := h.sendJSON(http.MethodPost, n.inboundControl, "/faults", faults); err != nil {
		h.t.Fatal(err)
	}
	// Until the router has reread its host list, it keeps calling other routers at
	// the addresses that they sent to it.
	published := time.Now()
	h.publishHostList(n.ownHostList, n.id)
	h.waitUntil(func() error {
		var s status
		if err := h.getJSON(n.operatorsAddress, "/status", &s); err != nil || s.ListTime.Before(published) {
			return fmt.Errorf("%s has not read the new host list: %w", n.id, err)
		}
		return nil
	})
	// In-flight requests renew and release their grants at the previous addresses,
	// and the responses contain the owner's configuration version.
	time.Sleep(3 * time.Second)
	if err := h.sendJSON(http.MethodPost, n.storeControl, "/faults", faults); err != nil {
		h.t.Fatal(err)
	}
	return "ok"
}

// runCtlCommand runs hemlockctl with the arguments in the input. With push=no it
// gets no host list, so that it cannot push the change to routers.
func (h *harness) runCtlCommand(o options, input string) string {
	h.lastChange = time.Now()
	run := h.runCtl
	if o["push"] == "no" {
		run = h.runCtlWithoutHostList
	}
	out, err := run(splitArguments(input)...)
	h.t.Logf("hemlockctl %s\n%s", input, out)
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// splitArguments splits a command at white space, except inside double quotes.
func splitArguments(text string) []string {
	var args []string
	for i, part := range strings.Split(strings.TrimSpace(text), `"`) {
		if i%2 == 1 {
			args = append(args, part)
			continue
		}
		args = append(args, strings.Fields(part)...)
	}
	return args
}

// storedVersion returns the version of the document in the store, or the last
// version read if the store is unavailable.
func (h *harness) storedVersion() (uint64, error) {
	document, err := h.runCtl("config", "show")
	if err != nil && h.storedConfigVersion > 0 {
		return h.storedConfigVersion, nil
	}
	if err != nil {
		return 0, err
	}
	d, err := fleetconfig.Parse([]byte(document))
	if err != nil {
		return 0, err
	}
	h.storedConfigVersion = d.Version()
	return h.storedConfigVersion, nil
}

// waitForVersions waits for at most within-ms, by default 11 s, until all routers
// have the version in the store.
func waitForVersions(h *harness, o options, _ []string, _ string) string {
	start, timeout := time.Now(), time.Duration(o.intOr("within-ms", 11000))*time.Millisecond
	want, err := h.storedVersion()
	if err != nil {
		return err.Error()
	}
	for {
		outdated := ""
		for _, n := range h.routers {
			var s status
			if err := h.getJSON(n.operatorsAddress, "/status", &s); err != nil || s.Version < want {
				outdated = n.id
			}
		}
		if outdated == "" {
			h.t.Logf("versions: all routers have %d after %s", want, time.Since(start))
			return "ok"
		}
		if time.Since(start) > timeout {
			return outdated + " has an older version"
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkStarted checks conditions on the number of requests (started) that all
// engines, or those of a failure domain, start within the option ms.
func checkStarted(h *harness, o options, _ []string, input string) string {
	before := h.startedExecutions(o["domain"])
	time.Sleep(time.Duration(o.intOr("ms", 2000)) * time.Millisecond)
	n := h.startedExecutions(o["domain"]) - before
	h.t.Logf("started: %d", n)
	return checkConditions(input, map[string]float64{"started": float64(n)})
}

func (h *harness) startedExecutions(domain string) int {
	total := 0
	for _, n := range h.engines {
		if domain != "" && n.domain != domain {
			continue
		}
		var s struct {
			Started int `json:"started"`
		}
		if err := h.getJSON(n.address, "/stats", &s); err != nil {
			h.t.Fatal(err)
		}
		total += s.Started
	}
	return total
}

// setHostState sets the state of a host in the common host list, or in the host
// list of the router in the option at.
func setHostState(h *harness, o options, _ []string, _ string) string {
	hostList := h.hostListAddress
	if at := h.nodes[o["at"]]; at != nil {
		hostList = at.ownHostList
	}
	h.lastChange = time.Now()
	if err := h.sendJSON(http.MethodPost, hostList, "/hosts/"+o["node"], map[string]string{"state": o["state"]}); err != nil {
		return err.Error()
	}
	return "ok"
}

// checkConditions evaluates lines such as "wrong = 0" or "complete >= 100". It
// returns "ok", or the conditions that are not met with the actual values.
func checkConditions(input string, values map[string]float64) string {
	var violated []string
	s := bufio.NewScanner(strings.NewReader(input))
	for s.Scan() {
		var key, op string
		var want float64
		if n, err := fmt.Sscan(s.Text(), &key, &op, &want); n != 3 {
			violated = append(violated, fmt.Sprintf("%s: %v", s.Text(), err))
			continue
		}
		got := values[key]
		holds := map[string]bool{"=": got == want, ">=": got >= want, "<=": got <= want, ">": got > want}[op]
		if !holds {
			violated = append(violated, fmt.Sprintf("%s: got %g", s.Text(), got))
		}
	}
	if len(violated) == 0 {
		return "ok"
	}
	return strings.Join(violated, "\n")
}
