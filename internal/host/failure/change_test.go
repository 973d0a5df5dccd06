package failure

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// checkLastStart checks conditions on last_start_ms, the time from the script's
// latest change to the last start of a request at the engine, or at an engine of
// the failure domain, that the option at names.
func checkLastStart(h *harness, o options, _ []string, input string) string {
	lastStartMs := 0.0
	for _, e := range h.executionLog(o["at"]) {
		lastStartMs = math.Max(lastStartMs, float64(e.Started.Sub(h.lastChange).Milliseconds()))
	}
	h.t.Logf("last start at %s: %g ms after the change", o["at"], lastStartMs)
	return checkConditions(input, map[string]float64{"last_start_ms": lastStartMs})
}

// checkOverloads checks conditions on the requests since the script's latest
// change that failed because the engine in the option at was cold: their number
// (overloads), the time from the change to the last of them (last_ms), and the
// time from the first to the last (known_ms). The response to the first lets the
// owner know that the engine is cold.
func checkOverloads(h *harness, o options, _ []string, input string) string {
	var times []float64
	for _, e := range h.executionLog(o["at"]) {
		if e.Outcome == "overload" && e.Started.After(h.lastChange) {
			times = append(times, float64(e.Started.Sub(h.lastChange).Milliseconds()))
		}
	}
	values := map[string]float64{"overloads": float64(len(times))}
	if len(times) > 0 {
		values["last_ms"] = slices.Max(times)
		values["known_ms"] = slices.Max(times) - slices.Min(times)
	}
	h.t.Logf("overloaded %s: %v ms after the change", o["at"], times)
	return checkConditions(input, values)
}

// checkBlackholed checks conditions on the connections that a forwarder has
// blackholed: their number (silenced), how many of them are still open (kept), and
// the longest time until one was closed, or until now if it is open (slowest_ms).
func checkBlackholed(h *harness, o options, _ []string, input string) string {
	var stats struct {
		Silenced int     `json:"silenced"`
		Left     int     `json:"left"`
		Slowest  float64 `json:"slowest_ms"`
	}
	if err := h.getJSON(h.targetNode(o).controlAddress, "/stats", &stats); err != nil {
		return err.Error()
	}
	h.t.Logf("blackholed connections: %+v", stats)
	return checkConditions(input, map[string]float64{
		"silenced": float64(stats.Silenced), "kept": float64(stats.Silenced - stats.Left), "slowest_ms": stats.Slowest,
	})
}

// versionMonitor records the configuration versions of all routers.
type versionMonitor struct {
	stop, done chan struct{}

	rollbacks int
	versions  map[*node]uint64
	reachedAt map[uint64]time.Time // when all routers had reached a version
}

// startVersionMonitor starts a monitor that reads the versions every 50 ms.
func (h *harness) startVersionMonitor(o options) string {
	m := &versionMonitor{
		stop: make(chan struct{}), done: make(chan struct{}),
		versions: map[*node]uint64{}, reachedAt: map[uint64]time.Time{},
	}
	h.versionMonitors[o["name"]] = m
	routers := slices.Clone(h.routers)
	go func() {
		defer close(m.done)
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(50 * time.Millisecond):
				m.read(h, routers)
			}
		}
	}()
	return "ok"
}

func (m *versionMonitor) read(h *harness, routers []*node) {
	current := make([]uint64, len(routers))
	var group sync.WaitGroup
	for i, n := range routers {
		group.Go(func() {
			var s status
			if h.getJSON(n.operatorsAddress, "/status", &s) == nil {
				current[i] = s.Version
			}
		})
	}
	group.Wait()
	for i, n := range routers {
		if current[i] != 0 && current[i] < m.versions[n] {
			m.rollbacks++
		}
		m.versions[n] = max(m.versions[n], current[i])
	}
	lowest := slices.Min(current)
	if _, ok := m.reachedAt[lowest]; !ok {
		m.reachedAt[lowest] = time.Now()
	}
}

// checkVersionMonitor stops a version monitor and checks conditions on how often a
// router reported a lower version than before (lower), on the lowest version at
// the end (version), and on the time from the script's latest change until all
// routers had that version (effect_ms).
func (h *harness) checkVersionMonitor(o options, input string) string {
	m := h.versionMonitors[o["name"]]
	close(m.stop)
	<-m.done
	lowest := uint64(math.MaxUint64)
	for _, v := range m.versions {
		lowest = min(lowest, v)
	}
	values := map[string]float64{
		"lower": float64(m.rollbacks), "version": float64(lowest),
		"effect_ms": float64(m.reachedAt[lowest].Sub(h.lastChange).Milliseconds()),
	}
	h.t.Logf("version monitor %s: %v", o["name"], values)
	return checkConditions(input, values)
}

// runConcurrently runs the hemlockctl commands of the input, one per line, at the
// same time. It checks that a command succeeds if and only if the stored document
// contains its exception.
func (h *harness) runConcurrently(input string) string {
	commands := strings.Split(strings.TrimSpace(input), "\n")
	errs := make([]error, len(commands))
	h.lastChange = time.Now()
	var group sync.WaitGroup
	for i, command := range commands {
		group.Go(func() { _, errs[i] = h.runCtl(splitArguments(command)...) })
	}
	group.Wait()
	document, err := h.runCtl("config", "show")
	if err != nil {
		return err.Error()
	}
	var mismatches []string
	for i, command := range commands {
		stored := strings.Contains(document, fmt.Sprintf("[exception %q]", splitArguments(command)[2]))
		h.t.Logf("%s: error %v, stored %t", command, errs[i], stored)
		if stored != (errs[i] == nil) {
			mismatches = append(mismatches, fmt.Sprintf("%s: error %v, stored %t", command, errs[i], stored))
		}
	}
	if len(mismatches) > 0 {
		return strings.Join(mismatches, "\n")
	}
	return "ok"
}

// addRouter starts another router and adds it to the host list.
func addRouter(h *harness, o options, _ []string, _ string) string {
	h.startRouter(o["id"], o["domain"], o)
	h.publishHostList(h.hostListAddress, "")
	return "ok"
}

// restartRouters performs a rolling restart: it stops each router with SIGTERM and
// waits until it is ready again before it stops the next one.
func (h *harness) restartRouters() string {
	for _, n := range h.routers {
		if err := n.signal(syscall.SIGTERM); err != nil {
			h.t.Fatal(err)
		}
		if err := n.waitForExit(60 * time.Second); err != nil {
			return fmt.Sprintf("%s: %v", n.id, err)
		}
		n.process = h.startProgram("hemlockd", n.settingsFile)
		h.waitUntil(func() error { return h.getJSON(n.operatorsAddress, "/readyz", nil) })
	}
	return "ok"
}
