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
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// world is a directory and the routers behind it; each upstream e1 to e3 is
// owned by a router of the same number.
type world struct {
	notReady error
	document *fleet.Document
	answers  map[string][]string // scripted answers by upstream, the last repeats
	asked    []string
	syncs    []string
	notOwned map[string]bool
	down     map[string]bool
	owners   map[string][]string
}

func (w *world) Ready(time.Time) error { return w.notReady }
func (w *world) Candidates(admission.Ask) []hosts.Host {
	return []hosts.Host{engine("e1"), engine("e2"), engine("e3")}
}
func (w *world) Known(a admission.Ask) bool          { return a.Model == "m" }
func (w *world) Lookup(id string) (hosts.Host, bool) { return engine(id), true }
func (w *world) Owners(h hosts.Host) []string        { return w.owners[h.ID()] }
func (w *world) Policy(h hosts.Host) fleet.Policy    { return w.document.Upstream(h) }
func (w *world) Class(string) string                 { return "standard" }
func (w *world) ClassPolicy(class string) fleet.Class {
	c, _ := w.document.Class(class)
	return c
}
func (w *world) ConfigVersion() uint64            { return 1 }
func (w *world) Seen(string, uint64)              {}
func (w *world) Client(address string) rpc.Router { return &router{world: w, address: address} }

func engine(id string) hosts.Host {
	return hosts.NewHost(hosts.Fields{ID: id, Kind: hosts.Engine, Model: "m"})
}

// router answers as scripted.
type router struct {
	rpc.Router
	world   *world
	address string
}

func (r *router) Acquire(_ context.Context, q *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	w := r.world
	w.asked = append(w.asked, fmt.Sprintf("%s at %s home=%t queue=%t", q.Upstream, r.address, q.Home, q.MayQueue))
	if w.down[r.address] {
		return nil, errors.New("connection refused")
	}
	list := w.answers[q.Upstream]
	if len(list) == 0 {
		return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REFUSED, Reason: rpc.Reason_REASON_FULL, RetryAfterMs: 3000}, nil
	}
	word, value, _ := strings.Cut(list[0], ":")
	if len(list) > 1 {
		w.answers[q.Upstream] = list[1:]
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

func (r *router) Sync(_ context.Context, q *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	w := r.world
	line := fmt.Sprintf("%s: renewals=%d releases=%d", r.address, len(q.Renewals), len(q.Releases))
	for _, p := range q.Placements {
		line += fmt.Sprintf(" placed=%s at %q", p.Home, p.Upstream)
	}
	w.syncs = append(w.syncs, line)
	if w.down[r.address] {
		return nil, errors.New("connection refused")
	}
	resp := &rpc.SyncResponse{}
	if w.notOwned[r.address] {
		resp.NotOwned = q.Renewals
	}
	return resp, nil
}

// TestClient guards against loops between owners, lost placements and releases,
// grants that a new owner never hears of, and refusals without a verdict.
func TestClient(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		document, err := fleet.Parse(nil)
		if err != nil {
			t.Fatal(err)
		}
		var w *world
		var c *Client
		var held *Grant
		// A chat whose order is e1, e2, e3, so that scripts can be read.
		chat := uint64(0)
		for strings.Join(place.Order(chat, []string{"e1", "e2", "e3"}), "") != "e1e2e3" {
			chat++
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "world":
				w = &world{document: document, answers: map[string][]string{}, notOwned: map[string]bool{}, down: map[string]bool{}, owners: map[string][]string{}}
				for _, n := range []string{"1", "2", "3"} {
					w.owners["e"+n] = []string{"r" + n}
				}
				for _, a := range d.CmdArgs {
					switch a.Key {
					case "down":
						for _, v := range a.Vals {
							w.down[v] = true
						}
					case "not-ready":
						w.notReady = errors.New("no fleet configuration yet")
					default:
						w.answers[a.Key] = a.Vals
					}
				}
				c = New("r0", w, w, admin.NewRing(16))
				return "ok\n"
			case "acquire":
				w.asked = nil
				g, err := c.Acquire(t.Context(), admission.Ask{RequestID: "q", Workspace: "a", Model: "m", Chat: chat, Attempt: 1, Tokens: 10_000})
				lines := append([]string{}, w.asked...)
				if err != nil {
					var v *verdict.Error
					errors.As(err, &v)
					return strings.Join(append(lines, fmt.Sprintf("%v executed=%s status=%d retry=%s", err, v.Verdict(), v.Status(), v.RetryAfter())), "\n") + "\n"
				}
				held = g.(*Grant)
				return strings.Join(append(lines, "granted "+g.UpstreamID()), "\n") + "\n"
			case "owner":
				w.owners[d.CmdArgs[0].Key] = d.CmdArgs[0].Vals
				return "ok\n"
			case "lost":
				w.notOwned[d.CmdArgs[0].Key] = true
				return "ok\n"
			case "down":
				w.down[d.CmdArgs[0].Key] = true
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
				w.syncs = nil
				c.Flush(t.Context())
				sort.Strings(w.syncs)
				return strings.Join(append(w.syncs, fmt.Sprintf("held=%d", c.Held())), "\n") + "\n"
			}
			return "no such command\n"
		})
	})
}
