package owner

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// newBenchTable returns a table that owns n upstreams without a load limit.
func newBenchTable(n int) (*Table, time.Time) {
	now := time.Unix(1e9, 0)
	f := newFakeEnv()
	f.loadFloor, f.coldLimit, f.maxLoad, f.queueLength = 1<<30, 1<<30, 1<<30, 1<<30
	t := New("r", f, f, f)
	for i := range n {
		t.TakeOwnership(now, Upstream{ID: engineName(i), Pool: "p"}, uint64(i+1), nil)
	}
	for range 14 {
		now = now.Add(500 * time.Millisecond)
		t.Tick(now)
	}
	return t, now
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, upstreams := range []int{1, 12} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			t, now := newBenchTable(upstreams)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					r := &rpc.AcquireRequest{Upstream: engineName(i % upstreams), Workspace: "w", Class: "standard", Chat: uint64(i), Home: true}
					a := t.Acquire(context.Background(), now, r)
					t.Sync(now, &rpc.SyncRequest{Releases: []*rpc.Release{{
						Upstream: r.GetUpstream(), Id: a.GetGrant(), Fencing: a.GetFencing(), Ok: true, FirstTokenMs: 100,
					}}})
				}
			})
		})
	}
}

// heapBytesPerItem returns the heap bytes that build adds per item while its
// result is reachable.
func heapBytesPerItem(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
}

// BenchmarkMemory measures bytes per owned upstream, grant, placement row and
// queued request. A queued request includes the stack of the caller's
// goroutine.
func BenchmarkMemory(b *testing.B) {
	const items = 10000
	for range b.N {
		b.ReportMetric(heapBytesPerItem(items, func() any { t, _ := newBenchTable(items); return t }), "B/upstream")
		t, now := newBenchTable(1)
		b.ReportMetric(heapBytesPerItem(items, func() any {
			for range items {
				t.Acquire(context.Background(), now, &rpc.AcquireRequest{Upstream: engineName(0)})
			}
			return t
		}), "B/grant")
		b.ReportMetric(heapBytesPerItem(maxPlacementRows, func() any {
			for i := range uint64(maxPlacementRows) {
				t.Sync(now, &rpc.SyncRequest{Placements: []*rpc.Placement{{Chat: i * 0x9e3779b97f4a7c15, Home: engineName(0), Upstream: fmt.Sprintf("e%d", i%9)}}})
			}
			return t
		}), "B/chat")
		b.ReportMetric(queuedRequestBytes(t, now, items), "B/queued")
	}
}

// queuedRequestBytes fills the queue of the first upstream, measures it and
// empties it again.
func queuedRequestBytes(t *Table, now time.Time, items int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	t.policies.(*fakeEnv).maxLoad, t.policies.(*fakeEnv).weights["w"] = 1, 1
	stacks := stackInUse()
	bytes := heapBytesPerItem(items, func() any {
		for range items {
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				t.Acquire(ctx, now, &rpc.AcquireRequest{Upstream: engineName(0), MayQueue: true, Workspace: "w"})
			}()
		}
		for length := 0; length < items; {
			t.withUpstream(engineName(0), func(u *upstream) { length = u.queue.length })
			time.Sleep(time.Millisecond)
		}
		return t
	})
	bytes += (stackInUse() - stacks) / float64(items)
	cancel()
	waiting.Wait()
	return bytes
}

func stackInUse() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}
