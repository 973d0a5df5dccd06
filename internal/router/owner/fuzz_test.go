package owner

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// FuzzMessages guards against messages of another router that make the owner
// panic or leave load that never expires.
func FuzzMessages(f *testing.F) {
	grant := &rpc.Grant{Upstream: "u", Id: 1 << 40, Fencing: 7, Workspace: "w", Class: "interactive"}
	for kind, m := range []proto.Message{
		&rpc.HandoverRequest{Upstream: "u", Limit: 1 << 31, Warm: true, Grants: []*rpc.Grant{grant, grant}, Chats: []*rpc.ChatRow{{Chat: 1}}},
		&rpc.SyncRequest{Renewals: []*rpc.Grant{grant, {}}, Releases: []*rpc.Release{{Upstream: "u", Id: 1, FirstTokenMs: 1 << 31}}, Placements: []*rpc.Placement{{Home: "u"}}},
		&rpc.AcquireRequest{Upstream: "u", Class: "none", Home: true, Tokens: 1 << 31, MayQueue: true, QueueMs: 1 << 31},
	} {
		text, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), text)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	f.Fuzz(func(t *testing.T, kind uint8, message []byte) {
		policy := newFakeEnv()
		now := time.Unix(1e9, 0)
		table := New("r", policy, policy, policy)
		handover, sync, acquire := &rpc.HandoverRequest{}, &rpc.SyncRequest{}, &rpc.AcquireRequest{}
		if proto.Unmarshal(message, []proto.Message{handover, sync, acquire}[kind%3]) != nil {
			return
		}
		table.TakeOwnership(now, Upstream{ID: "u", Pool: "p"}, 7, handover)
		table.Sync(now, sync)
		table.Acquire(ended, now, acquire)
		for range 30 {
			now = now.Add(time.Second)
			table.Tick(now)
		}
		for _, d := range table.Digests(now) {
			if d.Load != 0 {
				t.Errorf("load %d is left 30 s after the message", d.Load)
			}
		}
	})
}
