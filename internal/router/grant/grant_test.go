package grant

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// fakeFleet is a directory and the routers behind it; router r1 owns e1, r2
// owns e2 and r3 owns e3 unless a script changes that.
type fakeFleet struct {
	readyErr    error
	document    *fleetconfig.Document
	responses   map[string][]string // scripted, by upstream; the last one repeats
	acquires    []string
	syncLines   []string
	notOwned    map[string]bool
	unreachable map[string]bool
	owners      map[string][]string
}

func (f *fakeFleet) Ready(time.Time) error { return f.readyErr }
func (f *fakeFleet) Candidates(admission.Request) []hosts.Host {
	return []hosts.Host{engine("e1"), engine("e2"), engine("e3")}
}
func (f *fakeFleet) HasUpstream(a admission.Request) bool   { return a.Model == "m" }
func (f *fakeFleet) Lookup(id string) (hosts.Host, bool)    { return engine(id), true }
func (f *fakeFleet) OwnerAddresses(h hosts.Host) []string   { return f.owners[h.ID()] }
func (f *fakeFleet) Policy(h hosts.Host) fleetconfig.Policy { return f.document.UpstreamPolicy(h) }
func (f *fakeFleet) Class(string) string                    { return "standard" }
func (f *fakeFleet) ClassPolicy(class string) fleetconfig.Class {
	c, _ := f.document.Class(class)
	return c
}
func (f *fakeFleet) ConfigVersion() uint64               { return 1 }
func (f *fakeFleet) ObserveConfigVersion(string, uint64) {}
func (f *fakeFleet) Client(address string) rpc.Router    { return &fakeRouter{fakes: f, address: address} }

func engine(id string) hosts.Host {
	return hosts.NewHost(hosts.Fields{ID: id, Kind: hosts.KindEngine, Model: "m"})
}

// fakeRouter returns scripted responses.
type fakeRouter struct {
	rpc.Router
	fakes   *fakeFleet
	address string
}

func (r *fakeRouter) Acquire(_ context.Context, q *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	f := r.fakes
	f.acquires = append(f.acquires, fmt.Sprintf("%s at %s home=%t queue=%t", q.Upstream, r.address, q.Home, q.MayQueue))
	if f.unreachable[r.address] {
		return nil, errors.New("connection refused")
	}
	list := f.responses[q.Upstream]
	if len(list) == 0 {
		return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REFUSED, Reason: rpc.Reason_REASON_FULL, RetryAfterMs: 3000}, nil
	}
	word, value, _ := strings.Cut(list[0], ":")
	if len(list) > 1 {
		f.responses[q.Upstream] = list[1:]
	}
	switch word {
	case "grant":
		return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_GRANTED, Grant: 7, Fencing: 5, LifetimeMs: 6000}, nil
	case "redirect":
		return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REDIRECT, Redirect: value}, nil
	case "not-owner":
		return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REFUSED, Reason: rpc.Reason_REASON_NOT_OWNER, OwnerHint: value}, nil
	}
	return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REFUSED, Reason: rpc.Reason(rpc.Reason_value["REASON_"+word]), RetryAfterMs: 500}, nil
}

func (r *fakeRouter) Sync(_ context.Context, q *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	f := r.fakes
	line := fmt.Sprintf("%s: renewals=%d releases=%d", r.address, len(q.Renewals), len(q.Releases))
	for _, p := range q.Placements {
		line += fmt.Sprintf(" placed=%s at %q", p.Home, p.Upstream)
	}
	f.syncLines = append(f.syncLines, line)
	if f.unreachable[r.address] {
		return nil, errors.New("connection refused")
	}
	resp := &rpc.SyncResponse{}
	if f.notOwned[r.address] {
		resp.NotOwned = q.Renewals
	}
	return resp, nil
}

// TestClient guards against loops between owners, lost placements and releases,
// grants that are never renewed at a new owner, and refusals without a verdict.
func TestClient(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		document, err := fleetconfig.Parse(nil)
		if err != nil {
			t.Fatal(err)
		}
		var f *fakeFleet
		var c *Client
		var held *Grant
		// A chat whose order is e1, e2, e3 keeps the scripts readable.
		chat := uint64(0)
		for strings.Join(rendezvous.Order(chat, []string{"e1", "e2", "e3"}), "") != "e1e2e3" {
			chat++
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "world":
				f = &fakeFleet{document: document, responses: map[string][]string{}, notOwned: map[string]bool{}, unreachable: map[string]bool{}, owners: map[string][]string{}}
				for _, n := range []string{"1", "2", "3"} {
					f.owners["e"+n] = []string{"r" + n}
				}
				for _, a := range d.CmdArgs {
					switch a.Key {
					case "down":
						for _, v := range a.Vals {
							f.unreachable[v] = true
						}
					case "not-ready":
						f.readyErr = errors.New("no fleet configuration yet")
					default:
						f.responses[a.Key] = a.Vals
					}
				}
				c = New("r0", f, f, admin.NewDecisionRing(16))
				return "ok\n"
			case "acquire":
				f.acquires = nil
				g, err := c.Acquire(t.Context(), admission.Request{RequestID: "q", Workspace: "a", Model: "m", Chat: chat, Attempt: 1, Tokens: 10_000})
				lines := append([]string{}, f.acquires...)
				if err != nil {
					var v *verdict.Error
					errors.As(err, &v)
					return strings.Join(append(lines, fmt.Sprintf("%v executed=%s status=%d retry=%s", err, v.Verdict(), v.Status(), v.RetryAfter())), "\n") + "\n"
				}
				held = g.(*Grant)
				return strings.Join(append(lines, "granted "+g.UpstreamID()), "\n") + "\n"
			case "owner":
				f.owners[d.CmdArgs[0].Key] = d.CmdArgs[0].Vals
				return "ok\n"
			case "lost":
				f.notOwned[d.CmdArgs[0].Key] = true
				return "ok\n"
			case "down":
				f.unreachable[d.CmdArgs[0].Key] = true
				return "ok\n"
			case "due":
				c.mu.Lock()
				held.renewAt = time.Now()
				c.mu.Unlock()
				return "ok\n"
			case "release":
				held.Release(admission.Report{OK: true})
				held.Release(admission.Report{OK: true})
				return "ok\n"
			case "flush":
				f.syncLines = nil
				c.Flush(t.Context())
				sort.Strings(f.syncLines)
				return strings.Join(append(f.syncLines, fmt.Sprintf("held=%d", c.ActiveGrants())), "\n") + "\n"
			}
			return "no such command\n"
		})
	})
}
