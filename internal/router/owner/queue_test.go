package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// TestGrantReleasedAfterCallerLeft guards against a grant that stays counted
// because its waiter's context ended after the grant was sent.
func TestGrantReleasedAfterCallerLeft(t *testing.T) {
	f := newFakeEnv()
	f.coldLimit, f.maxLoad, f.poolTotal = 1, 1, 100
	table := New("r", f, f, f)
	now := time.Unix(1e9, 0)
	table.TakeOwnership(now, Upstream{ID: "e", Pool: "p"}, 2, &rpc.HandoverRequest{Fencing: 1, Limit: 1})
	first := table.Acquire(context.Background(), now, &rpc.AcquireRequest{Upstream: "e"})
	ctx, cancel := context.WithCancel(context.Background())
	var w *waiter
	table.withUpstream("e", func(u *upstream) {
		_, w = u.acquire(ctx, now, &rpc.AcquireRequest{Upstream: "e", MayQueue: true})
		u.releaseGrant(now, &rpc.Release{Id: first.GetGrant(), Fencing: first.GetFencing()})
		if len(u.grants) != 1 || len(w.response) != 1 {
			t.Fatalf("%d grants and %d responses, want the waiter granted", len(u.grants), len(w.response))
		}
	})
	cancel()
	if r := w.wait(ctx); r.GetOutcome() != rpc.Outcome_OUTCOME_REFUSED {
		t.Errorf("response %v, want a refusal", r)
	}
	table.withUpstream("e", func(u *upstream) {
		if len(u.grants) != 0 || u.poolLoad.ownLoad.Load() != 0 {
			t.Errorf("%d grants left, own load %d", len(u.grants), u.poolLoad.ownLoad.Load())
		}
	})
}

// TestQueueConcurrent guards against leaked grants, waiters and flows, and
// against a load above the limit, when callers leave while requests are
// granted.
func TestQueueConcurrent(t *testing.T) {
	f := newFakeEnv()
	f.coldLimit, f.maxLoad, f.poolTotal, f.queueLength, f.queueDeadline = 3, 3, 100, 8, time.Minute
	table := New("r", f, f, f)
	now := time.Unix(1e9, 0)
	table.TakeOwnership(now, Upstream{ID: "e", Pool: "p"}, 2, &rpc.HandoverRequest{Fencing: 1, Limit: 3})
	var callers sync.WaitGroup
	for i := range 16 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			random := rand.New(rand.NewPCG(uint64(i), 0))
			for range 300 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(300))*time.Microsecond)
				r := table.Acquire(ctx, now, &rpc.AcquireRequest{
					Upstream: "e", MayQueue: true, Workspace: engineName(random.IntN(5)), Class: []string{"batch", "interactive"}[i%2],
				})
				cancel()
				if r.GetOutcome() != rpc.Outcome_OUTCOME_GRANTED {
					continue
				}
				table.withUpstream("e", func(u *upstream) {
					if len(u.grants) > 3 {
						t.Errorf("load %d", len(u.grants))
					}
				})
				table.Sync(now, &rpc.SyncRequest{Releases: []*rpc.Release{{Upstream: "e", Id: r.GetGrant(), Fencing: r.GetFencing()}}})
			}
		}()
	}
	callers.Wait()
	table.Tick(now)
	table.withUpstream("e", func(u *upstream) {
		left := len(u.queue.levels[0].flows) + len(u.queue.levels[1].flows) + len(u.queue.levels[2].flows)
		if len(u.grants) != 0 || u.queue.length != 0 || left != 0 {
			t.Errorf("leaked: %d grants, %d queued, %d flows", len(u.grants), u.queue.length, left)
		}
	})
}

// TestFairShares guards against a workspace that exceeds its share by sending
// more requests, or by queueing them one at a time.
func TestFairShares(t *testing.T) {
	weights := map[string]int{"light": 1, "heavy": 3, "single": 1}
	var q queue
	push := func(workspace string) {
		q.push(&waiter{request: &rpc.AcquireRequest{Workspace: workspace, Tokens: 1000}})
	}
	for range 200 {
		push("light")
		push("heavy")
	}
	push("single")
	served := map[string]int{}
	for range 100 {
		w := q.pop()
		workspace := w.request.GetWorkspace()
		q.charge(w, weights[workspace])
		served[workspace]++
		if workspace == "single" {
			push("single")
		}
	}
	for workspace, weight := range weights {
		if share := 100 * weight / 5; served[workspace] < share-2 || served[workspace] > share+2 {
			t.Errorf("%s was served %d of 100 times, want %d", workspace, served[workspace], share)
		}
	}
}
