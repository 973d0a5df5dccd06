package daemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/hosts"
)

// BenchmarkPlacement looks up the candidates of a chat, and the owners of one
// candidate, at the design size: 12,000 engines of 9 models and 980 routers in 10
// failure domains of 4 regions.
func BenchmarkPlacement(b *testing.B) {
	var list []hosts.Target
	var routers []membership.Peer
	for i := range 12_980 {
		domain := i % 10
		labels := map[string]string{
			"id": fmt.Sprintf("drafter-%d", i), "kind": "engine", "service": "drafter", "model": fmt.Sprintf("model-%d", i%9),
			"failure_domain": fmt.Sprintf("domain-%d", domain), "region": fmt.Sprintf("region-%d", domain%4), "state": "live",
		}
		address := fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255)
		if i >= 12_000 {
			labels["id"], labels["kind"], labels["service"], labels["model"] = fmt.Sprintf("router-%d", i-12_000), "router", "", ""
			routers = append(routers, membership.Peer{ID: labels["id"], Address: address, FailureDomain: labels["failure_domain"], Region: labels["region"]})
		}
		list = append(list, hosts.Target{Targets: []string{address}, Labels: labels})
	}
	server := httptest.NewServer(hosts.New(list))
	defer server.Close()
	s, err := settings.Parse("bench.ini", fmt.Appendf(nil, `[daemon]
id = router-0
failure_domain = domain-0
region = region-0
callers = 127.0.0.1:1
routers = 127.0.0.1:2
operators = 127.0.0.1:3
key_secret = %s
[platform]
store = %s
hosts = %s/hosts
`, testSecret, server.URL, server.URL))
	if err != nil {
		b.Fatal(err)
	}
	d, err := New(s)
	if err != nil {
		b.Fatal(err)
	}
	if err = d.poller.Poll(context.Background()); err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	d.members.SetHostList(now, routers)
	d.members.SetState(rpc.RouterState_ROUTER_STATE_READY)
	for _, p := range routers[1:] {
		d.members.HandleRequest(now, &rpc.ExchangeRequest{
			Router: p.ID, Boot: p.ID, Address: p.Address, FailureDomain: p.FailureDomain, Region: p.Region, State: rpc.RouterState_ROUTER_STATE_READY,
		})
	}
	request := admission.Request{Model: "model-3", Chat: 42}
	candidates := d.Candidates(request)
	b.Run("candidates", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = d.Candidates(request)
		}
		b.ReportMetric(float64(len(candidates)), "candidates")
	})
	b.Run("owners", func(b *testing.B) {
		b.ReportAllocs()
		if live := len(d.members.Live(time.Now())); live != len(routers) {
			b.Fatalf("%d of %d routers are live", live, len(routers))
		}
		for b.Loop() {
			if len(d.OwnerAddresses(candidates[0])) == 0 {
				b.Fatal("no owner")
			}
		}
	})
}
