package membership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// FuzzExchange guards against a message that makes a router panic, or whose load
// still counts after the peer has stopped sending.
func FuzzExchange(f *testing.F) {
	digests := []*rpc.Digest{
		{Pool: "/s/m", Load: 1 << 31, Receiving: 1 << 31, AgeMs: 1 << 31},
		{Router: "*d", Pool: "r/s/m"},
		{Router: "x", Pool: "r"},
		{},
	}
	request, err := proto.Marshal(&rpc.ExchangeRequest{
		Router: "peer", Address: "peer:1", FailureDomain: "d", Region: "r", State: 9, ConfigVersion: 1 << 63, ConfigAgeMs: 1 << 31, Digests: digests,
	})
	if err != nil {
		f.Fatal(err)
	}
	response, err := proto.Marshal(&rpc.ExchangeResponse{Router: "peer", State: 2, Digests: digests, HoldOffMs: 1 << 31})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(true, request)
	f.Add(false, response)
	f.Fuzz(func(t *testing.T, isRequest bool, message []byte) {
		now := epoch
		m := New(Self{ID: "self", BootID: "b", Address: "self:1", FailureDomain: "d", Region: "r"})
		m.SetHostList(now, []Peer{{ID: "self", Address: "self:1", FailureDomain: "d", Region: "r"}, {ID: "peer", Address: "peer:1", FailureDomain: "d", Region: "r"}})
		in, out := &rpc.ExchangeRequest{}, &rpc.ExchangeResponse{}
		if isRequest && proto.Unmarshal(message, in) == nil {
			m.HandleRequest(now, in)
		} else if !isRequest && proto.Unmarshal(message, out) == nil {
			m.HandleResponse(now, now, "peer:1", out)
		}
		own := &rpc.Digest{Pool: "r/s/m", Load: 3, Receiving: 1}
		for range 40 {
			now = now.Add(ExchangeInterval)
			m.SetDigests(now, []*rpc.Digest{own})
			m.NewRequest(now, true)
			m.Targets(now)
		}
		if total, receiving := m.PoolLoad(now, "r/s/m"); total != 3 || receiving != 1 {
			t.Errorf("the pool has load %d on %d upstreams 20 s after the message, want only this router's load 3 on 1", total, receiving)
		}
	})
}
