package owner

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// fakeEnv is a Policy, Policies, PoolView and LeaseStatus whose values a script
// sets.
type fakeEnv struct {
	loadFactor, ttftFactor                     float64
	loadFloor, coldLimit, maxLoad, queueLength int
	queueDeadline, grantLifetime               time.Duration
	disabled, domainEvacuated                  bool
	poolTotal, receiving                       int
	reserveOnly                                bool
	weights                                    map[string]int
	classes                                    map[string]fakeClass
}

// fakeClass is a Class whose values a script sets.
type fakeClass struct {
	rank     int
	deadline time.Duration
}

func (c fakeClass) Rank() int                    { return c.rank }
func (c fakeClass) QueueDeadline() time.Duration { return c.deadline }

func newFakeEnv() *fakeEnv {
	return &fakeEnv{
		loadFactor: 1.5, ttftFactor: 4, loadFloor: 4, coldLimit: 2, maxLoad: 16, queueLength: 4,
		queueDeadline: 2 * time.Second, grantLifetime: 6 * time.Second, receiving: 3, weights: map[string]int{},
		classes: map[string]fakeClass{"interactive": {0, time.Minute}, "standard": {1, time.Minute}, "batch": {2, time.Minute}},
	}
}

func (f *fakeEnv) LoadFactor() float64          { return f.loadFactor }
func (f *fakeEnv) LoadFloor() int               { return f.loadFloor }
func (f *fakeEnv) ColdLimit() int               { return f.coldLimit }
func (f *fakeEnv) MaxLoad() int                 { return f.maxLoad }
func (f *fakeEnv) ColdTTFTFactor() float64      { return f.ttftFactor }
func (f *fakeEnv) QueueLength() int             { return f.queueLength }
func (f *fakeEnv) QueueDeadline() time.Duration { return f.queueDeadline }
func (f *fakeEnv) GrantLifetime() time.Duration { return f.grantLifetime }
func (f *fakeEnv) Disabled() bool               { return f.disabled }
func (f *fakeEnv) DomainEvacuated() bool        { return f.domainEvacuated }
func (f *fakeEnv) Upstream(string) Policy       { return f }
func (f *fakeEnv) Weight(w string) int          { return max(f.weights[w], 1) }
func (f *fakeEnv) Class(name string) Class {
	if c, ok := f.classes[name]; ok {
		return c
	}
	return f.classes["standard"]
}
func (f *fakeEnv) PoolLoad(time.Time, string) (int, int) { return f.poolTotal, f.receiving }
func (f *fakeEnv) FullLimitAllowed(time.Time) bool       { return !f.reserveOnly }

// script runs the commands of one datadriven file with an explicit clock.
type script struct {
	t                *testing.T
	now              time.Time
	env              *fakeEnv
	tables           map[string]*Table
	handovers        map[string]*rpc.HandoverRequest
	pendingResponses map[string]chan *rpc.AcquireResponse
	cancel           map[string]context.CancelFunc
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{
			t: t, now: time.Unix(1e9, 0), env: newFakeEnv(), tables: map[string]*Table{},
			handovers: map[string]*rpc.HandoverRequest{}, pendingResponses: map[string]chan *rpc.AcquireResponse{},
			cancel: map[string]context.CancelFunc{},
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				out.WriteString(s.run(strings.Fields(line)))
			}
			out.WriteString(s.finishedResponses())
			if out.Len() == 0 {
				return "ok\n"
			}
			return out.String()
		})
	})
}

// args are the key=value words of a command; a word without "=" has the value
// "true".
type args map[string]string

func (a args) number(key string) int {
	n, _ := strconv.Atoi(a[key])
	return n
}

func (a args) upstream() Upstream {
	return Upstream{ID: a["at"], Pool: "p", Draining: a["leaving"] != "", PublishesLoadReports: a["reports"] != ""}
}

// commands are the commands of a script. Each acts on the table of the router
// named by router=; the default is "r".
var commands = map[string]func(s *script, t *Table, a args) string{
	"reclaim": func(_ *script, t *Table, a args) string {
		return fmt.Sprintf("owned=%t\n", t.UpdateFencing(a["at"], uint64(a.number("fencing"))))
	},
	"own": func(s *script, t *Table, a args) string {
		if a["first"] != "" {
			t.TakeUnowned(s.now, a.upstream(), uint64(a.number("fencing")))
			return ""
		}
		t.TakeOwnership(s.now, a.upstream(), uint64(a.number("fencing")), s.handovers[a["state"]])
		return ""
	},
	"drop": func(s *script, t *Table, a args) string { t.DropOwnership(s.now, a["at"]); return "" },
	"handover": func(s *script, t *Table, a args) string {
		h, ok := t.Handover(s.now, a["at"])
		s.handovers[a["state"]] = h
		return fmt.Sprintf("owned=%t limit=%d grants=%d chats=%d\n", ok, h.GetLimit(), len(h.GetGrants()), len(h.GetChats()))
	},
	"host":    func(s *script, t *Table, a args) string { t.SetListedState(s.now, a.upstream()); return "" },
	"acquire": (*script).acquire,
	// cancel returns once the request has left the queue; finishedResponses
	// prints it.
	"cancel": func(s *script, _ *Table, a args) string {
		s.cancel[a["r"]]()
		response := s.pendingResponses[a["r"]]
		response <- <-response
		return ""
	},
	"release": func(s *script, t *Table, a args) string {
		r := t.Sync(s.now, &rpc.SyncRequest{Releases: []*rpc.Release{{
			Upstream: a["at"], Id: uint64(a.number("id")), Fencing: uint64(a.number("fencing")),
			Ok: a["ok"] != "", ConnectionLost: a["lost"] != "", FirstTokenMs: uint32(a.number("ttft")),
			PromptTokens: uint32(a.number("prompt")), CachedTokens: uint32(a.number("cached")), Boot: a["boot"],
		}}})
		if len(r.GetNotOwned()) > 0 {
			return "not-owned\n"
		}
		return ""
	},
	"renew": func(s *script, t *Table, a args) string {
		r := t.Sync(s.now, &rpc.SyncRequest{Renewals: []*rpc.Grant{{
			Upstream: a["at"], Id: uint64(a.number("id")), Fencing: uint64(a.number("fencing")),
		}}})
		return fmt.Sprintf("not-owned=%d\n", len(r.GetNotOwned()))
	},
	"place": func(s *script, t *Table, a args) string {
		t.Sync(s.now, &rpc.SyncRequest{Placements: []*rpc.Placement{{
			Chat: uint64(a.number("chat")), Home: a["at"], Upstream: a["on"],
		}}})
		return ""
	},
	"report": func(s *script, t *Table, a args) string {
		t.ApplyLoadReport(s.now, a["at"], LoadReport{BootID: a["boot"], State: a["state"], CacheTokens: a.number("cache"), Running: a.number("running")})
		return ""
	},
	"event": func(s *script, t *Table, a args) string {
		t.ApplyCacheEvents(s.now, a["at"], []CacheEvent{{
			Seq: uint64(a.number("seq")), Chat: uint64(a.number("chat")), Op: a["op"],
		}})
		return ""
	},
	"tick": func(s *script, t *Table, _ args) string { t.Tick(s.now); return "" },
	"wait": func(s *script, _ *Table, a args) string {
		end := s.now.Add(time.Duration(a.number("ms")) * time.Millisecond)
		for s.now.Before(end) {
			s.now = s.now.Add(min(500*time.Millisecond, end.Sub(s.now)))
			for _, t := range s.tables {
				if a["paused"] == "" && s.now.Before(end) {
					t.Tick(s.now)
				}
			}
		}
		return ""
	},
	"set": (*script).set,
	"class": func(s *script, _ *Table, a args) string {
		s.env.classes[a["name"]] = fakeClass{a.number("rank"), time.Duration(a.number("deadline")) * time.Millisecond}
		return ""
	},
	"digests": func(s *script, t *Table, _ args) string {
		var out strings.Builder
		for _, d := range t.Digests(s.now) {
			fmt.Fprintf(&out, "%s load=%d receiving=%d\n", d.GetPool(), d.GetLoad(), d.GetReceiving())
		}
		return out.String()
	},
	"show": func(_ *script, t *Table, a args) string {
		out := "not owned\n"
		t.withUpstream(a["at"], func(u *upstream) {
			out = fmt.Sprintf("load=%d limit=%d queue=%d rows=%d\n",
				len(u.grants), u.coldStart.limit, u.queue.length, len(u.placements.index))
		})
		return out
	},
}

func (s *script) run(words []string) string {
	a := args{}
	for _, w := range words[1:] {
		key, value, ok := strings.Cut(w, "=")
		if !ok {
			value = "true"
		}
		a[key] = value
	}
	command := commands[words[0]]
	if command == nil {
		s.t.Fatalf("unknown command %q", words[0])
	}
	name := a["router"]
	if s.tables[name] == nil {
		s.tables[name] = New("r"+name, s.env, s.env, s.env)
	}
	out := ""
	for range max(a.number("times"), 1) {
		out += command(s, s.tables[name], a)
	}
	return out
}

func (s *script) set(_ *Table, a args) string {
	f := s.env
	numbers := map[string]*int{
		"total": &f.poolTotal, "receiving": &f.receiving, "floor": &f.loadFloor, "cold": &f.coldLimit, "max": &f.maxLoad, "queue": &f.queueLength,
	}
	flags := map[string]*bool{"disabled": &f.disabled, "out": &f.domainEvacuated, "reserve-only": &f.reserveOnly}
	for key, value := range a {
		switch {
		case numbers[key] != nil:
			*numbers[key] = a.number(key)
		case flags[key] != nil:
			*flags[key] = value == "true"
		default:
			f.weights[key] = a.number(key)
		}
	}
	return ""
}

// acquire returns the response, or "queued" once the request is in the queue.
func (s *script) acquire(t *Table, a args) string {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rpc.AcquireRequest{
		Upstream: a["at"], RequestId: a["r"], Workspace: a["workspace"], Class: a["class"], Home: a["home"] != "",
		Chat: uint64(a.number("chat")), MayQueue: a["queue"] != "", QueueMs: uint32(a.number("queue")),
	}
	response := make(chan *rpc.AcquireResponse, 1)
	now := s.now
	go func() { response <- t.Acquire(ctx, now, r) }()
	for {
		select {
		case response := <-response:
			cancel()
			return formatResponse(a["r"], response)
		case <-time.After(100 * time.Microsecond):
		}
		if s.queued(a["r"]) {
			s.pendingResponses[a["r"]], s.cancel[a["r"]] = response, cancel
			return a["r"] + " queued\n"
		}
	}
}

// queued reports whether a request whose caller has not left is in the queue of
// any upstream.
func (s *script) queued(request string) bool {
	for _, t := range s.tables {
		for _, u := range t.sortedUpstreams() {
			u.mu.Lock()
			waiters := u.queue.waiters()
			u.mu.Unlock()
			for _, w := range waiters {
				if w.request.GetRequestId() == request && w.ctx.Err() == nil {
					return true
				}
			}
		}
	}
	return false
}

// finishedResponses returns the responses of requests that have left the queue.
func (s *script) finishedResponses() string {
	var names []string
	for name := range s.pendingResponses {
		if !s.queued(name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	out := ""
	for _, name := range names {
		out += formatResponse(name, <-s.pendingResponses[name])
		delete(s.pendingResponses, name)
	}
	return out
}

func formatResponse(name string, r *rpc.AcquireResponse) string {
	outcome := strings.ToLower(strings.TrimPrefix(r.GetOutcome().String(), "OUTCOME_"))
	switch r.GetOutcome() {
	case rpc.Outcome_OUTCOME_GRANTED:
		return fmt.Sprintf("%s %s id=%d fencing=%d queued=%dms\n", name, outcome, r.GetGrant(), r.GetFencing(), r.GetQueuedMs())
	case rpc.Outcome_OUTCOME_REDIRECT:
		return fmt.Sprintf("%s %s %s\n", name, outcome, r.GetRedirect())
	}
	reason := strings.ToLower(strings.TrimPrefix(r.GetReason().String(), "REASON_"))
	return fmt.Sprintf("%s %s %s retry=%dms queued=%dms\n", name, outcome, reason, r.GetRetryAfterMs(), r.GetQueuedMs())
}
