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

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
)

// options are the key=value arguments of a script command.
type options map[string]string

func (o options) number(key string, fallback int) int {
	if n, err := strconv.Atoi(o[key]); err == nil {
		return n
	}
	return fallback
}

// coresPerFleet is how many cores a fleet of a script needs so that fleets that
// run at once do not delay each other beyond the times that the scripts check.
const coresPerFleet = 3

// slots bounds the fleets at once.
var slots = make(chan struct{}, min(3, max(1, runtime.NumCPU()/coresPerFleet)))

// TestFailures runs each script of testdata against a fleet of its own. Each
// script names the property that it guards.
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
			slots <- struct{}{}
			t.Cleanup(func() { <-slots })
			b := newBench(t)
			datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
				b.t = t
				return b.command(d) + "\n"
			})
		})
	}
}

// command runs one command of a script and returns what the script compares.
func (b *bench) command(d *datadriven.TestData) string {
	o := options{}
	var words []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			words = append(words, a.Key)
		}
		o[a.Key] = strings.Join(a.Vals, ",")
	}
	run, ok := commands[d.Cmd]
	if !ok {
		b.t.Fatalf("%s: no command %q", d.Pos, d.Cmd)
	}
	return run(b, o, words, d.Input)
}

var commands = map[string]func(b *bench, o options, words []string, input string) string{
	"start":      func(b *bench, o options, _ []string, _ string) string { return b.start(o) },
	"load":       func(b *bench, o options, _ []string, _ string) string { return b.load(o) },
	"wait":       func(b *bench, o options, _ []string, input string) string { return b.waitLoad(o, input) },
	"orders":     func(b *bench, o options, _ []string, _ string) string { return b.orders(o) },
	"ordered":    func(b *bench, o options, _ []string, input string) string { return b.ordered(o, input) },
	"sample":     func(b *bench, o options, _ []string, _ string) string { return b.sample(o) },
	"sampled":    func(b *bench, o options, _ []string, input string) string { return b.sampled(o, input) },
	"freeze":     func(b *bench, o options, _ []string, _ string) string { return b.signal(o, syscall.SIGSTOP) },
	"thaw":       func(b *bench, o options, _ []string, _ string) string { return b.signal(o, syscall.SIGCONT) },
	"kill":       func(b *bench, o options, _ []string, _ string) string { return b.signal(o, syscall.SIGKILL) },
	"stop":       stop,
	"fault":      fault,
	"store-cut":  func(b *bench, o options, _ []string, _ string) string { return b.storeFault(o, true) },
	"store-back": func(b *bench, o options, _ []string, _ string) string { return b.storeFault(o, false) },
	"isolate":    isolate,
	"ctl":        func(b *bench, o options, _ []string, input string) string { return b.control(o, input) },
	"versions":   versions,
	"started":    started,
	"last-start": lastStart,
	"overloaded": overloaded,
	"silenced":   silenced,
	"arrival":    arrival,
	"models":     models,
	"follow":     func(b *bench, o options, _ []string, _ string) string { return b.follow(o) },
	"followed":   func(b *bench, o options, _ []string, input string) string { return b.followed(o, input) },
	"race":       func(b *bench, _ options, _ []string, input string) string { return b.race(input) },
	"router":     router,
	"roll":       func(b *bench, _ options, _ []string, _ string) string { return b.roll() },
	"host":       host,
	"sleep": func(_ *bench, o options, _ []string, _ string) string {
		time.Sleep(time.Duration(o.number("ms", 1000)) * time.Millisecond)
		return "ok"
	},
	"settle": func(b *bench, _ options, _ []string, _ string) string {
		b.await(b.settled)
		return "ok"
	},
}

// target returns the node that node= names, or the owner of owner-of=.
func (b *bench) target(o options) *node {
	if upstream := o["owner-of"]; upstream != "" {
		n := b.owner(upstream)
		b.nodes["owner"], b.nodes["owner-of-"+upstream] = n, n
		return n
	}
	n := b.nodes[o["node"]]
	if n == nil {
		b.t.Fatalf("no node %q", o["node"])
	}
	return n
}

func (b *bench) signal(o options, s syscall.Signal) string {
	n := b.target(o)
	b.mark = time.Now()
	if err := n.signal(s); err != nil {
		b.t.Fatal(err)
	}
	if s == syscall.SIGKILL {
		b.routers = slices.DeleteFunc(b.routers, func(r *node) bool { return r == n })
		b.engines = slices.DeleteFunc(b.engines, func(r *node) bool { return r == n })
	}
	return "ok"
}

// stop sends SIGTERM and checks that the process ends by itself with status 0.
func stop(b *bench, o options, _ []string, _ string) string {
	n := b.target(o)
	if err := n.signal(syscall.SIGTERM); err != nil {
		b.t.Fatal(err)
	}
	if err := n.wait(60 * time.Second); err != nil {
		return err.Error()
	}
	b.routers = slices.DeleteFunc(b.routers, func(r *node) bool { return r == n })
	return "ok"
}

// fault switches the faults in the input, a JSON object, at a stand-in.
func fault(b *bench, o options, _ []string, input string) string {
	n := b.target(o)
	b.mark = time.Now()
	address := n.address
	if n.control != "" {
		address = n.control
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/faults", strings.NewReader(input))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.Status
	}
	return "ok"
}

// storeFault cuts routers off from the store, all of them or the one named.
func (b *bench) storeFault(o options, cut bool) string {
	list := b.routers
	if o["node"] != "" || o["owner-of"] != "" {
		list = []*node{b.target(o)}
	}
	for _, n := range list {
		if err := b.send(http.MethodPost, n.store, "/faults", map[string]bool{"cut": cut, "block": cut}); err != nil {
			b.t.Fatal(err)
		}
	}
	return "ok"
}

// isolate cuts a private router off from the store, from all routers and from
// operators. It still serves callers and reaches upstreams.
func isolate(b *bench, o options, _ []string, _ string) string {
	n := b.target(o)
	n.unlisted = true
	b.publish(b.hosts, "")
	cut := map[string]bool{"cut": true, "block": true}
	if err := b.send(http.MethodPost, n.inbound, "/faults", cut); err != nil {
		b.t.Fatal(err)
	}
	// Until it has read its list again the router goes on to call others at the
	// addresses that they told it.
	published := time.Now()
	b.publish(n.private, n.id)
	b.await(func() error {
		var s status
		if err := b.get(n.operators, "/status", &s); err != nil || s.ListTime.Before(published) {
			return fmt.Errorf("%s has an older list: %w", n.id, err)
		}
		return nil
	})
	// Requests under way renew and release their grants at the addresses of
	// before, and an answer to that tells the owner's version.
	time.Sleep(3 * time.Second)
	if err := b.send(http.MethodPost, n.store, "/faults", cut); err != nil {
		b.t.Fatal(err)
	}
	return "ok"
}

// control runs hemlockctl with the words of the input. With push=no it knows
// no router to push the change to.
func (b *bench) control(o options, input string) string {
	b.mark = time.Now()
	run := b.ctl
	if o["push"] == "no" {
		run = b.ctlStore
	}
	out, err := run(arguments(input)...)
	b.t.Logf("hemlockctl %s\n%s", input, out)
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// arguments splits a command into words; words in quotes stay together.
func arguments(text string) []string {
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
// one read while the store is away.
func (b *bench) storedVersion() (uint64, error) {
	text, err := b.ctl("config", "show")
	if err != nil && b.version > 0 {
		return b.version, nil
	}
	if err != nil {
		return 0, err
	}
	d, err := fleet.Parse([]byte(text))
	if err != nil {
		return 0, err
	}
	b.version = d.Version()
	return b.version, nil
}

// versions waits until all routers have the version in the store, for as long
// as the option within-ms says.
func versions(b *bench, o options, _ []string, _ string) string {
	start, limit := time.Now(), time.Duration(o.number("within-ms", 11000))*time.Millisecond
	want, err := b.storedVersion()
	if err != nil {
		return err.Error()
	}
	for {
		behind := ""
		for _, n := range b.routers {
			var s status
			if err := b.get(n.operators, "/status", &s); err != nil || s.Version < want {
				behind = n.id
			}
		}
		if behind == "" {
			b.t.Logf("versions: all routers have %d after %s", want, time.Since(start))
			return "ok"
		}
		if time.Since(start) > limit {
			return behind + " is behind"
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// started counts requests that the engines of a failure domain, or all, start
// in a time and checks the conditions in the input on "started".
func started(b *bench, o options, _ []string, input string) string {
	before := b.executions(o["domain"])
	time.Sleep(time.Duration(o.number("ms", 2000)) * time.Millisecond)
	n := b.executions(o["domain"]) - before
	b.t.Logf("started: %d", n)
	return conditions(input, map[string]float64{"started": float64(n)})
}

func (b *bench) executions(domain string) int {
	sum := 0
	for _, n := range b.engines {
		if domain != "" && n.domain != domain {
			continue
		}
		var s struct {
			Started int `json:"started"`
		}
		if err := b.get(n.address, "/stats", &s); err != nil {
			b.t.Fatal(err)
		}
		sum += s.Started
	}
	return sum
}

// host sets the state of a host in the host list, or in that of the private
// router in the option at.
func host(b *bench, o options, _ []string, _ string) string {
	list := b.hosts
	if at := b.nodes[o["at"]]; at != nil {
		list = at.private
	}
	b.mark = time.Now()
	if err := b.send(http.MethodPost, list, "/hosts/"+o["node"], map[string]string{"state": o["state"]}); err != nil {
		return err.Error()
	}
	return "ok"
}

// conditions checks lines such as "wrong = 0" or "complete >= 100" and returns
// "ok" or the lines that do not hold with the value found.
func conditions(input string, values map[string]float64) string {
	var broken []string
	s := bufio.NewScanner(strings.NewReader(input))
	for s.Scan() {
		var key, op string
		var want float64
		if n, err := fmt.Sscan(s.Text(), &key, &op, &want); n != 3 {
			broken = append(broken, fmt.Sprintf("%s: %v", s.Text(), err))
			continue
		}
		got := values[key]
		holds := map[string]bool{"=": got == want, ">=": got >= want, "<=": got <= want, ">": got > want}[op]
		if !holds {
			broken = append(broken, fmt.Sprintf("%s: got %g", s.Text(), got))
		}
	}
	if len(broken) == 0 {
		return "ok"
	}
	return strings.Join(broken, "\n")
}
