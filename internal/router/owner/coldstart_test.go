package owner

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// coldRequest is a request at the simulated engine; coldStarts counts the cold
// starts before its start.
type coldRequest struct {
	id         uint64
	boot       string
	coldStarts int
}

// delayedReport is a load report that the owner has not received yet.
type delayedReport struct {
	LoadReport
	coldStarts int
}

// coldEngine simulates an engine that turns cold without warning, and its
// owner.
type coldEngine struct {
	now                time.Time
	table              *Table
	env                *fakeEnv
	boot               int
	coldStarts         int // cold starts so far
	knownColdStarts    int // newest cold start that the owner knows of
	allowedLoad        int // cold limit, plus one for each completion since the last cold start
	running            []coldRequest
	unreportedFailures []coldRequest // aborted by a restart, not yet reported
	pendingReports     []delayedReport
}

func bootName(n int) string { return string(rune('a' + n%26)) }

func newColdEngine() *coldEngine {
	c := &coldEngine{now: time.Unix(1e9, 0), env: newFakeEnv()}
	c.env.maxLoad, c.env.coldLimit, c.env.poolTotal, c.env.receiving = 16, 2, 1000, 1
	c.allowedLoad = c.env.coldLimit
	c.table = New("r", c.env, c.env, c.env)
	c.table.TakeOwnership(c.now, Upstream{ID: "e", Pool: "p"}, 1, nil)
	c.advance(7 * time.Second)
	c.table.ApplyLoadReport(c.now, "e", LoadReport{BootID: bootName(0), State: "warm", CacheTokens: 8000})
	return c
}

func (c *coldEngine) advance(d time.Duration) {
	for ; d > 0; d -= 500 * time.Millisecond {
		c.now = c.now.Add(500 * time.Millisecond)
		c.table.Tick(c.now)
		for _, r := range append(c.running, c.unreportedFailures...) {
			c.table.Sync(c.now, &rpc.SyncRequest{Renewals: []*rpc.Grant{{Upstream: "e", Id: r.id, Fencing: 1}}})
		}
	}
}

// acquire fails the test if the owner knows of the cold start and admits more
// than the engine can handle.
func (c *coldEngine) acquire(t *rapid.T) {
	r := c.table.Acquire(context.Background(), c.now, &rpc.AcquireRequest{Upstream: "e"})
	if r.GetOutcome() != rpc.Outcome_OUTCOME_GRANTED {
		return
	}
	c.running = append(c.running, coldRequest{id: r.GetGrant(), boot: bootName(c.boot), coldStarts: c.coldStarts})
	if load := len(c.running); c.knownColdStarts == c.coldStarts && load > c.allowedLoad {
		t.Fatalf("admitted to a load of %d where the cold engine can handle %d", load, c.allowedLoad)
	}
}

func (c *coldEngine) release(r coldRequest, ok bool) {
	c.table.Sync(c.now, &rpc.SyncRequest{Releases: []*rpc.Release{{
		Upstream: "e", Id: r.id, Fencing: 1, Ok: ok, ConnectionLost: !ok, FirstTokenMs: 100, Boot: r.boot,
	}}})
}

func removeRandom(t *rapid.T, requests *[]coldRequest) coldRequest {
	i := rapid.IntRange(0, len(*requests)-1).Draw(t, "run")
	r := (*requests)[i]
	*requests = append((*requests)[:i:i], (*requests)[i+1:]...)
	return r
}

func (c *coldEngine) complete(t *rapid.T) {
	if len(c.running) == 0 {
		return
	}
	r := removeRandom(t, &c.running)
	if r.coldStarts == c.coldStarts {
		c.allowedLoad++
	}
	c.release(r, true)
}

// turnCold empties the cache; running requests continue.
func (c *coldEngine) turnCold(*rapid.T) {
	c.coldStarts++
	c.allowedLoad = c.env.coldLimit
	c.pendingReports = append(c.pendingReports, delayedReport{LoadReport{BootID: bootName(c.boot), State: "cold"}, c.coldStarts})
}

// restart aborts the running requests and turns the engine cold.
func (c *coldEngine) restart(t *rapid.T) {
	c.boot++
	for _, r := range c.running {
		r.coldStarts = c.coldStarts + 1
		c.unreportedFailures = append(c.unreportedFailures, r)
	}
	c.running = nil
	c.turnCold(t)
}

// reportFailure reports the end of an aborted request.
func (c *coldEngine) reportFailure(t *rapid.T) {
	if len(c.unreportedFailures) > 0 {
		r := removeRandom(t, &c.unreportedFailures)
		c.release(r, false)
		c.knownColdStarts = max(c.knownColdStarts, r.coldStarts)
	}
}

// deliverReport delivers the oldest load report, sometimes twice, and after the
// newest sometimes one that says that the engine is warm.
func (c *coldEngine) deliverReport(t *rapid.T) {
	if len(c.pendingReports) == 0 {
		return
	}
	r := c.pendingReports[0]
	c.table.ApplyLoadReport(c.now, "e", r.LoadReport)
	c.knownColdStarts = max(c.knownColdStarts, r.coldStarts)
	if len(c.pendingReports) > 1 || rapid.Bool().Draw(t, "drop") {
		c.pendingReports = c.pendingReports[1:]
	}
	if c.knownColdStarts == c.coldStarts && rapid.Bool().Draw(t, "warm") {
		c.table.ApplyLoadReport(c.now, "e", LoadReport{BootID: bootName(c.boot), State: "warm", CacheTokens: 8000})
	}
}

// TestColdStart guards against admissions that an engine in a cold start cannot
// handle, once a load report or a lost connection has told the owner.
func TestColdStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newColdEngine()
		fill := func(t *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				c.acquire(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"fill": fill, "more": fill, "acquire": c.acquire,
			"complete": c.complete, "complete2": c.complete, "complete3": c.complete,
			"restart": c.restart, "cold": c.turnCold, "fail": c.reportFailure, "report": c.deliverReport, "report2": c.deliverReport,
			"time": func(*rapid.T) { c.advance(time.Second) },
		})
	})
}
