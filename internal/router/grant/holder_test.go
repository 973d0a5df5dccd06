package grant

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// unimplementedRouter provides the methods that the test does not call.
type unimplementedRouter struct{ rpc.Router }

// fakeOwner is one router that owns all upstreams of a directory. It returns
// scripted responses for each upstream and records the offers.
type fakeOwner struct {
	unimplementedRouter
	document  *fleetconfig.Document
	hosts     []hosts.Host
	responses map[string][]*rpc.AcquireResponse // scripted, by upstream; the last one repeats
	offers    []string
}

func (o *fakeOwner) Ready(time.Time) error                     { return nil }
func (o *fakeOwner) Candidates(admission.Request) []hosts.Host { return o.hosts }
func (o *fakeOwner) OwnerAddresses(hosts.Host) []string        { return []string{"owner"} }
func (o *fakeOwner) Policy(h hosts.Host) fleetconfig.Policy    { return o.document.UpstreamPolicy(h) }
func (o *fakeOwner) Class(string) string                       { return "standard" }
func (o *fakeOwner) ClassPolicy(class string) fleetconfig.Class {
	c, _ := o.document.Class(class)
	return c
}
func (o *fakeOwner) ConfigVersion() uint64               { return 1 }
func (o *fakeOwner) ObserveConfigVersion(string, uint64) {}
func (o *fakeOwner) Client(string) rpc.Router            { return o }
func (o *fakeOwner) Lookup(string) (hosts.Host, bool)    { return hosts.Host{}, false }
func (o *fakeOwner) HasUpstream(admission.Request) bool  { return true }

func refusedResponse(reason rpc.Reason) *rpc.AcquireResponse {
	return &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REFUSED, Reason: reason}
}

func (o *fakeOwner) Acquire(_ context.Context, r *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	o.offers = append(o.offers, fmt.Sprintf("%s wait=%d", r.Upstream, r.QueueMs))
	list := o.responses[r.Upstream]
	if len(list) > 1 {
		o.responses[r.Upstream] = list[1:]
	}
	return list[0], nil
}

// TestAcquireWaitsAtPrefixHolder guards against a returning chat that leaves
// its prefix holder as soon as that is at its bound, against one that queues at
// its home although another engine holds the prefix, and against a class whose
// deadline or priority has no effect.
func TestAcquireWaitsAtPrefixHolder(t *testing.T) {
	document, err := fleetconfig.Parse([]byte("[fleet]\nversion = 1\n[defaults]\ncandidates = 2\nqueue_deadline = 800ms\n" +
		"[class \"batch\"]\nqueue_deadline = 400ms\npriority = 9\n[class \"interactive\"]\nqueue_deadline = 5s\n"))
	if err != nil {
		t.Fatal(err)
	}
	ids := rendezvous.Order(42, []string{"e1", "e2", "e3"})
	var list []hosts.Host
	for _, id := range ids {
		list = append(list, hosts.NewHost(hosts.Fields{ID: id, Kind: hosts.KindEngine, Model: "m"}))
	}
	full, granted := refusedResponse(rpc.Reason_REASON_FULL), &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_GRANTED}
	away := &rpc.AcquireResponse{Outcome: rpc.Outcome_OUTCOME_REDIRECT, Redirect: ids[2]}
	for _, c := range []struct {
		name, model string
		class       string
		priority    int
		tokens      uint32
		responses   [3][]*rpc.AcquireResponse // of the candidates, home first
		offers      []string
	}{
		{
			"home has room soon", "m", "", 2, 10_000,
			[3][]*rpc.AcquireResponse{{granted}, {granted}, {granted}},
			[]string{ids[0] + " wait=100"},
		},
		{
			"holder stays full", "m", "interactive", 1, 10_000,
			[3][]*rpc.AcquireResponse{{away, full}, {full}, {full, granted}},
			[]string{ids[0] + " wait=100", ids[2] + " wait=100", ids[0] + " wait=0", ids[1] + " wait=0", ids[2] + " wait=800"},
		},
		{
			"short prompt waits for less than its computation", "m", "unknown", 2, 200,
			[3][]*rpc.AcquireResponse{{granted}, {granted}, {granted}},
			[]string{ids[0] + " wait=40"},
		},
		{
			"deadline of the class", "m", "batch", 0, 10_000,
			[3][]*rpc.AcquireResponse{{full, granted}, {full}, {full}},
			[]string{ids[0] + " wait=50", ids[1] + " wait=0", ids[0] + " wait=400"},
		},
		{
			"plain service", "", "", 2, 0,
			[3][]*rpc.AcquireResponse{{full, granted}, {full}, {full}},
			[]string{ids[0] + " wait=0", ids[1] + " wait=0", ids[0] + " wait=800"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &fakeOwner{document: document, hosts: list, responses: map[string][]*rpc.AcquireResponse{}}
			for i, a := range c.responses {
				o.responses[ids[i]] = a
			}
			client := New("entry", o, o, admin.NewDecisionRing(16))
			g, err := client.Acquire(context.Background(), admission.Request{RequestID: "r", Class: c.class, Model: c.model, Tokens: c.tokens, Chat: 42})
			if err != nil {
				t.Fatal(err)
			}
			if g.Priority() != c.priority {
				t.Errorf("priority %d, want %d", g.Priority(), c.priority)
			}
			if !slices.Equal(o.offers, c.offers) {
				t.Errorf("offers %q, want %q", o.offers, c.offers)
			}
		})
	}
}
