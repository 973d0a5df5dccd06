package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// BenchmarkPeerMemory reports the heap bytes per listed peer that has sent an
// exchange. Run it with -benchtime 1x.
func BenchmarkPeerMemory(b *testing.B) {
	const peers = 980
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		now := time.Unix(1e9, 0)
		m := New(Self{ID: "router-0", Address: "127.0.0.1:1", FailureDomain: "d-0", Region: "r-0"})
		list := make([]Peer, peers)
		for i := range list {
			list[i] = Peer{
				ID: fmt.Sprintf("router-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1),
				FailureDomain: fmt.Sprintf("d-%d", i%10), Region: fmt.Sprintf("r-%d", i%4),
			}
		}
		m.SetHostList(now, list)
		for _, p := range list[1:] {
			m.HandleRequest(now, &rpc.ExchangeRequest{Router: p.ID, Boot: p.ID, Address: p.Address, FailureDomain: p.FailureDomain, Region: p.Region, State: rpc.RouterState_ROUTER_STATE_READY, ConfigVersion: 1})
		}
		b.ReportMetric(float64(heap()-before)/peers, "B/peer")
		runtime.KeepAlive(m)
	}
}
