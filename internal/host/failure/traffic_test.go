package failure

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxLoadMultiple is the maximum load of an engine as a multiple of the
	// mean. A load up to loadFloor requests is always allowed.
	maxLoadMultiple = 2.0
	loadFloor       = 4
)

// startLoad starts a load generator in the background.
func (h *harness) startLoad(o options) string {
	args := []string{
		"--model", model, "--workers", strconv.Itoa(o.intOr("workers", 12)), "--seed", strconv.Itoa(o.intOr("seed", 1)),
		"--duration", fmt.Sprintf("%ds", o.intOr("seconds", 10)), "--count", strconv.Itoa(o.intOr("count", 1000000)),
		"--think", fmt.Sprintf("%dms", o.intOr("think-ms", 10)),
	}
	if o["surge"] != "" {
		args = append(args, "--surge", o["surge"], "--surge-at", "2s", "--surge-for", fmt.Sprintf("%ds", o.intOr("surge-seconds", 4)), "--surge-workers", strconv.Itoa(o.intOr("surge-workers", 24)))
	}
	for w, key := range h.apiKeys {
		args = append(args, "--key", w+"="+key)
	}
	if n := h.nodes[o["direct"]]; n != nil {
		args = append(args, "--address", n.address)
	}
	for _, n := range h.routers {
		if o["direct"] != "" {
			break
		}
		if o["via"] == "" || o["via"] == n.id {
			args = append(args, "--address", n.callersAddress)
			if o["balanced"] != "" {
				args = append(args, "--ready", "http://"+n.operatorsAddress+"/readyz")
			}
		}
	}
	control := freeAddress(h.t)
	h.loadControls[o["name"]] = control
	args = append(args, "--refused-file", h.refusedIDsFile(o["name"]), "--control", control)
	h.loadGenerators[o["name"]] = h.startFake("load", args...)
	return "ok"
}

// pauseWithStreams pauses a router at a time when streams of the load are in
// progress there, and counts them as interrupted. The router stays paused, so that
// none of them ends before the signal that interrupts them.
func (h *harness) pauseWithStreams(load string, router *node) {
	h.waitUntil(func() error {
		if err := router.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		// The load generator reads what the router sent before it was paused. The
		// time allows for delays on a busy machine.
		time.Sleep(200 * time.Millisecond)
		streams := map[string]int{}
		err := h.getJSON(h.loadControls[load], "/", &streams)
		if n := streams[router.callersAddress]; n > 0 {
			h.interrupted[load] += n
			h.t.Logf("%s is paused with %d streams of load %s", router.id, n, load)
			return nil
		}
		return errors.Join(err, router.signal(syscall.SIGCONT), fmt.Errorf("%s has no stream of load %s", router.id, load))
	})
}

// checkLoad waits until a load generator exits and checks conditions on its
// summary.
func (h *harness) checkLoad(o options, input string) string {
	generator := h.loadGenerators[o["name"]]
	err := generator.waitForExit(2 * time.Minute)
	values := map[string]float64{}
	s := bufio.NewScanner(strings.NewReader(generator.output.String()))
	for s.Scan() {
		key, value, _ := strings.Cut(s.Text(), "=")
		if f, err := strconv.ParseFloat(value, 64); err == nil {
			values[key] = f
		}
	}
	h.t.Logf("load %s:\n%s", o["name"], generator.output)
	// The generator fails after wrong responses, which the conditions check.
	if err != nil && values["wrong"] == 0 {
		return err.Error()
	}
	for key, n := range values {
		// 429 and 503 are refusals, whose verdict must be "no"; 502 and 504 are
		// failures with the verdict "unknown".
		if strings.HasPrefix(key, "refused_429_") || strings.HasPrefix(key, "refused_503_") {
			values["refused"] += n
			if !strings.HasSuffix(key, "_no") {
				values["refused_without_no"] += n
			}
		}
	}
	values["false_no"] = float64(h.countFalseRefusals(o["name"]))
	values["cut_undetected"] = float64(h.interrupted[o["name"]]) - values["cut_broken"]
	return checkConditions(input, values)
}

func (h *harness) refusedIDsFile(name string) string {
	return filepath.Join(h.workDir, "refused-"+name)
}

// countFalseRefusals counts the requests that were refused as not executed although
// an engine started them.
func (h *harness) countFalseRefusals(name string) int {
	file, err := os.ReadFile(h.refusedIDsFile(name))
	if err != nil {
		h.t.Fatal(err)
	}
	executed := map[string]bool{}
	for _, e := range h.executionLog("") {
		executed[e.RequestID] = true
	}
	refused, falseRefusals := strings.Fields(string(file)), 0
	for _, id := range refused {
		if executed[id] {
			falseRefusals++
		}
	}
	h.t.Logf("refused %s: %d IDs checked against %d executed, %d executed although refused", name, len(refused), len(executed), falseRefusals)
	return falseRefusals
}

// execution is an entry of an engine's execution log.
type execution struct {
	RequestID string    `json:"request_id"`
	Started   time.Time `json:"started"`
	Outcome   string    `json:"outcome"`
}

// executionLog returns the executions at the engine, or at the engines of the
// failure domain, that selector names; "" selects all engines.
func (h *harness) executionLog(selector string) []execution {
	var executions []execution
	for _, n := range h.engines {
		if selector != "" && n.domain != selector && n.id != selector {
			continue
		}
		var engineExecutions []execution
		if err := h.getJSON(n.address, "/executions", &engineExecutions); err != nil {
			h.t.Fatal(err)
		}
		executions = append(executions, engineExecutions...)
	}
	return executions
}

// loadSampler samples the load of engines.
type loadSampler struct {
	stop chan struct{}
	done chan struct{}

	samples    int
	start      time.Time
	ratio      float64
	worstLoads []int // loads at the largest ratio
	worstAt    time.Duration
	skew       float64
	coldOver   int
}

// startSampling starts a sampler that reads the load of all engines concurrently
// every 20 ms, without those of the failure domain in the option without, which
// is evacuated.
func (h *harness) startSampling(o options) string {
	s := &loadSampler{start: time.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	h.loadSamplers[o["name"]] = s
	engines := slices.DeleteFunc(slices.Clone(h.engines), func(n *node) bool { return o["without"] == n.domain })
	go func() {
		defer close(s.done)
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(20 * time.Millisecond):
				s.read(h, engines)
			}
		}
	}()
	return "ok"
}

func (s *loadSampler) read(h *harness, engines []*node) {
	loads := make([]int, len(engines))
	var group sync.WaitGroup
	for i, n := range engines {
		group.Go(func() {
			var stats struct{ Running, Waiting int }
			if h.getJSON(n.address, "/stats", &stats) == nil {
				loads[i] = stats.Running + stats.Waiting
			}
		})
	}
	group.Wait()
	total := 0
	for _, n := range loads {
		total += n
	}
	bound := math.Max(math.Ceil(maxLoadMultiple*float64(total+1)/float64(len(loads))), loadFloor)
	s.samples++
	if ratio := float64(slices.Max(loads)) / bound; ratio > s.ratio {
		s.ratio, s.worstLoads, s.worstAt = ratio, loads, time.Since(s.start)
	}
	if total > len(loads)*loadFloor {
		s.skew = math.Max(s.skew, float64(slices.Max(loads)*len(loads))/float64(total))
	}
}

// checkSamples stops a sampler and checks conditions on the largest load divided by
// the bound (ratio) and by the mean (skew), on requests that failed because an
// engine was cold (overloads), and on the peak load of an engine while cold
// (peak_cold) and overall (peak).
func (h *harness) checkSamples(o options, input string) string {
	s := h.loadSamplers[o["name"]]
	close(s.stop)
	<-s.done
	values := map[string]float64{"ratio": s.ratio, "skew": s.skew, "samples": float64(s.samples)}
	for _, n := range h.engines {
		var stats struct {
			Overloads int `json:"overloads"`
			PeakCold  int `json:"peak_cold_load"`
			Peak      int `json:"peak_load"`
		}
		if h.getJSON(n.address, "/stats", &stats) == nil {
			values["overloads"] += float64(stats.Overloads)
			values["peak_cold"] = math.Max(values["peak_cold"], float64(stats.PeakCold))
			values["peak"] = math.Max(values["peak"], float64(stats.Peak))
		}
	}
	h.t.Logf("sampled %s: %v, largest ratio after %s with loads %v", o["name"], values, s.worstAt, s.worstLoads)
	return checkConditions(input, values)
}

// orderResult is the response to one order; status is 0 if there was none.
type orderResult struct {
	orderID string
	status  int
	verdict string
}

// sendOrders starts to send orders, which are non-idempotent calls. It sends each
// order through several routers at once, with the same idempotency key or, with
// the option keyless, without one.
func (h *harness) sendOrders(o options) string {
	batch := &orderBatch{done: make(chan struct{})}
	h.orderBatches[o["name"]] = batch
	routers := slices.Clone(h.routers)
	go func() {
		defer close(batch.done)
		var group sync.WaitGroup
		for i := range o.intOr("n", 20) {
			orderID := fmt.Sprintf("%s-%d", o["name"], i)
			for c := range o.intOr("copies", 2) {
				router := routers[(i+c*3)%len(routers)]
				group.Go(func() { batch.add(h.postOrder(router, orderID, o["keyless"] == "")) })
			}
			time.Sleep(time.Duration(o.intOr("pace-ms", 0)) * time.Millisecond)
		}
		group.Wait()
	}()
	return "ok"
}

// orderBatch collects the results of the orders of one orders command.
type orderBatch struct {
	done    chan struct{}
	mu      sync.Mutex
	results []orderResult
}

func (b *orderBatch) add(result orderResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, result)
}

// checkOrders waits for the results of a batch and checks conditions on them.
func (h *harness) checkOrders(o options, input string) string {
	batch := h.orderBatches[o["name"]]
	<-batch.done
	return checkConditions(input, h.countOrderResults(batch.results))
}

// orderBody returns the body of an order, whose hash identifies its executions.
func orderBody(orderID string) string { return `{"order":"` + orderID + `"}` }

func (h *harness) postOrder(router *node, orderID string, keyed bool) orderResult {
	r, err := http.NewRequest(http.MethodPost, "http://"+router.callersAddress+"/services/orderdesk/orders", strings.NewReader(orderBody(orderID)))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+h.apiKeys["swatch-studio"])
	if keyed {
		r.Header.Set("Idempotency-Key", orderID)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: 30 * time.Second}).Do(r)
	if err != nil {
		return orderResult{orderID: orderID}
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return orderResult{orderID, resp.StatusCode, resp.Header.Get("Hemlock-Executed")}
}

// countOrderResults compares the verdicts that callers received with the executions
// at the plain workers.
func (h *harness) countOrderResults(results []orderResult) map[string]float64 {
	executionsByBody := map[string]int{}
	for _, n := range h.plainWorkers {
		var list []struct {
			Body string `json:"body_sha256"`
		}
		if h.getJSON(n.address, "/executions", &list) != nil {
			continue
		}
		for _, e := range list {
			executionsByBody[e.Body]++
		}
	}
	executions := func(orderID string) int {
		hash := sha256.Sum256([]byte(orderBody(orderID)))
		return executionsByBody[hex.EncodeToString(hash[:])]
	}
	values := map[string]float64{}
	verdicts := map[string]string{}
	for _, r := range results {
		values["answers_"+r.verdict]++
		if r.status == 0 {
			values["no_answer"]++
		}
		if r.verdict == "yes" || verdicts[r.orderID] == "" {
			verdicts[r.orderID] = r.verdict
		}
		if r.verdict == "yes" && executions(r.orderID) == 0 {
			values["false_yes"]++
		}
	}
	allRefused := map[string]bool{}
	for _, r := range results {
		if _, seen := allRefused[r.orderID]; !seen {
			allRefused[r.orderID] = true
		}
		allRefused[r.orderID] = allRefused[r.orderID] && r.verdict == "no"
	}
	for orderID, all := range allRefused {
		values["max_executions"] = math.Max(values["max_executions"], float64(executions(orderID)))
		if all && executions(orderID) > 0 {
			values["false_no"]++
		}
	}
	h.t.Logf("orders: %v", values)
	return values
}
