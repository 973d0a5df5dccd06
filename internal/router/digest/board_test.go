package digest

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// engine is the upstream of the tests.
var engine = []uint64{xxhash.Sum64String("engine")}

// pair returns two boards that know each other.
func pair() (a, b *Board) {
	a, b = NewBoard("a", 1), NewBoard("b", 1)
	a.SetPeers(1, map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"})
	b.SetPeers(1, map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"})
	return a, b
}

func deliver(t *testing.T, to *Board, now clock.Instant, content []byte) Heard {
	t.Helper()
	h, err := to.Receive(now, "10.0.0.9:1", content)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestLoads guards against counts that miss peers' requests, count a datagram
// twice, or outlive a silent peer.
func TestLoads(t *testing.T) {
	a, b := pair()
	now := clock.Instant(time.Hour)
	a.Start("engine")
	a.Start("engine")
	b.Start("engine")
	old := a.Letters(now)[0].Content()
	a.End("engine")
	deliver(t, b, now, a.Letters(now)[0].Content())
	deliver(t, b, now, old)
	if all, own := b.Loads(now, engine); all[0] != 2 || own[0] != 1 {
		t.Errorf("load %d, own %d, want one of each router", all[0], own[0])
	}
	if all, _ := b.Loads(now.Add(2*time.Second), engine); all[0] != 1 {
		t.Errorf("load %d, want the own one only after the peer fell silent", all[0])
	}
	outcome := balance.Outcomes{Upstream: 3, OK: 1, Failed: 2, Unreachable: 4}
	a.TellSeen([]balance.Outcomes{outcome})
	if seen := deliver(t, b, now, a.Letters(now)[0].Content()).Seen(); len(seen) != 1 || seen[0] != outcome {
		t.Errorf("outcomes %v, want %v", seen, outcome)
	}
	use := prefix.Location{Prefix: 7, Engine: 9}
	a.Tell(use)
	if uses := deliver(t, b, now, a.Letters(now)[0].Content()).Uses(); len(uses) != 1 || uses[0] != use {
		t.Errorf("uses %v, want %v", uses, use)
	}
}

// TestMarkAge guards against a confirmation that looks younger than it is: a
// datagram may be delayed, or read by a host that was suspended meanwhile. Only
// the echo of the receiver's own clock bounds its age.
func TestMarkAge(t *testing.T) {
	a, b := pair()
	aNow, bNow := clock.Instant(time.Hour), clock.Instant(3*time.Hour)
	a.SetMark(Orders, Mark{Hash: 5, Confirmed: aNow.Add(-300 * time.Millisecond)})
	first := a.Letters(aNow)[0].Content()
	if m := deliver(t, b, bNow, first).Mark(Orders); m.Confirmed != 0 {
		t.Errorf("a mark without echo counts as confirmed at %v", m.Confirmed)
	}
	deliver(t, a, aNow, b.Letters(bNow)[0].Content())
	letter := a.Letters(aNow)[0].Content()
	late := bNow.Add(20 * time.Second)
	m := deliver(t, b, late, letter).Mark(Orders)
	if m.Hash != 5 || m.Confirmed > bNow.Add(-300*time.Millisecond) {
		t.Errorf("confirmed %v before the echo, want at least 300 ms", bNow.Sub(m.Confirmed))
	}
	if m.Confirmed < bNow.Add(-310*time.Millisecond) {
		t.Errorf("confirmed %v before the echo, want about 300 ms", bNow.Sub(m.Confirmed))
	}
}

// TestEchoFromTheFuture guards against an echo of an earlier boot of this host,
// whose clock had counted further.
func TestEchoFromTheFuture(t *testing.T) {
	a, b := pair()
	deliver(t, a, 1, b.Letters(clock.Instant(time.Hour))[0].Content())
	a.SetMark(Orders, Mark{Hash: 5, Confirmed: 1})
	if m := deliver(t, b, clock.Instant(time.Minute), a.Letters(2)[0].Content()).Mark(Orders); m.Confirmed != 0 {
		t.Errorf("confirmed at %v by an echo from the future", m.Confirmed)
	}
}

// TestRouters guards against dividing sums by too few routers right after one
// falls silent, and against counting it for ever.
func TestRouters(t *testing.T) {
	a, _ := pair()
	if got := len(a.Routers(clock.Instant(listedLifetime))); got != 2 {
		t.Errorf("%d routers while the peer is listed, want 2", got)
	}
	if got := len(a.Routers(clock.Instant(2 * listedLifetime))); got != 1 {
		t.Errorf("%d routers long after, want 1", got)
	}
}

// TestIntroduction guards against a fleet whose routers do not know each other
// while the store's list is old: a router introduces itself by its datagrams and
// is not dropped by a list without it, until it falls silent.
func TestIntroduction(t *testing.T) {
	a, b := NewBoard("a", 1), NewBoard("b", 1)
	b.SetPeers(1, map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"})
	now := clock.Instant(time.Hour)
	b.Start("engine")
	deliver(t, a, now, b.Letters(now)[0].Content())
	a.SetPeers(now, map[string]string{"a": "10.0.0.1:1"})
	if got := a.Routers(now); len(got) != 2 {
		t.Fatalf("routers %v, want the one that introduced itself as well", got)
	}
	if l := a.Letters(now); len(l) != 1 || l[0].Address() != "10.0.0.9:1" {
		t.Errorf("letters %v, want one to the address of the datagram", l)
	}
	if all, _ := a.Loads(now, engine); all[0] != 1 {
		t.Errorf("load %d, want that of the new peer", all[0])
	}
	later := now.Add(heardLifetime)
	a.SetPeers(later, map[string]string{"a": "10.0.0.1:1"})
	if got := a.Routers(later); len(got) != 1 {
		t.Errorf("routers %v after the peer fell silent", got)
	}
}

// TestAsk guards against a router that is told of nothing for a whole turn of a
// large fleet: a peer that it asks confirms the state at once.
func TestAsk(t *testing.T) {
	a, b := pair()
	aNow, bNow := clock.Instant(time.Hour), clock.Instant(3*time.Hour)
	deliver(t, b, bNow, a.Letters(aNow)[0].Content())
	a.SetMark(Orders, Mark{Hash: 5, Revision: 7, Confirmed: aNow})
	if h := deliver(t, b, bNow, a.Letters(aNow)[0].Content()); h.Mark(Orders).Confirmed > bNow.Add(-time.Millisecond) {
		t.Error("a datagram in turn confirms as much as an answer, so the sequence shows nothing")
	}
	question := b.Ask(bNow, []string{"a", "unknown"}, 3)
	if len(question) != 1 {
		t.Fatalf("%d peers are asked, want the one in reach", len(question))
	}
	asker := deliver(t, a, aNow, question[0].Content()).Asker()
	answer, ok := a.Answer(aNow, asker)
	if !ok {
		t.Fatalf("no answer for %q", asker)
	}
	h := deliver(t, b, bNow.Add(3*time.Millisecond), answer.Content())
	if m := h.Mark(Orders); m.Hash != 5 || m.Revision != 7 || bNow.Sub(m.Confirmed) > 2*time.Millisecond {
		t.Errorf("mark %v, want the state confirmed about %v", m, bNow)
	}
	if h.Asker() != "" {
		t.Error("an answer asks for an answer")
	}
}

// TestClockStepBack guards against a router that nobody hears after a restart,
// since the time of day jumped back before it.
func TestClockStepBack(t *testing.T) {
	a, b := pair()
	now := clock.Instant(time.Hour)
	deliver(t, a, now, b.Letters(now)[0].Content())
	again := NewBoard("b", 0)
	again.SetPeers(now, map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1"})
	again.Start("engine")
	now = now.Add(lateness)
	deliver(t, a, now, again.Letters(now)[0].Content())
	if all, _ := a.Loads(now, engine); all[0] != 1 {
		t.Errorf("load %d, want that of the restarted router", all[0])
	}
}

// TestSampled plays 400 routers of which each has one request at one upstream,
// with datagrams to a part of the peers in each round. It guards against counts
// that miss the routers not heard from lately.
func TestSampled(t *testing.T) {
	const routers = 400
	self := NewBoard("self", 1)
	now := clock.Instant(time.Hour)
	peers := make([]*Board, routers)
	for i := range peers {
		peers[i] = NewBoard(fmt.Sprint("peer-", i), 1)
		peers[i].SetPeers(now, map[string]string{"self": "10.0.0.1:1"})
		peers[i].Start("engine")
	}
	address := map[string]string{}
	for step := range 4 * routers / batch {
		now = now.Add(SendInterval)
		for i := range batch {
			n := (step*batch + i) % routers
			content := peers[n].Letters(now)[0].Content()
			if _, err := self.Receive(now, fmt.Sprint("10.0.1.1:", n), content); err != nil {
				t.Fatal(err)
			}
		}
	}
	if all, _ := self.Loads(now, engine); all[0] < routers*9/10 || all[0] > routers*11/10 {
		t.Errorf("load %d, want about %d", all[0], routers)
	}
	for range (routers + batch - 1) / batch {
		for _, l := range self.Letters(now) {
			address[l.Address()] = "sent"
		}
	}
	if len(address) != routers {
		t.Errorf("%d of %d peers were sent to in a turn", len(address), routers)
	}
}

// TestReachable guards against a follower that relies on a router which is
// listed and silent, and against one that watches before its peers could speak.
func TestReachable(t *testing.T) {
	a, b := pair()
	now := clock.Instant(1)
	if got := a.Reachable(now); len(got) != 2 {
		t.Errorf("reachable %v, want the new peer", got)
	}
	now = now.Add(silence)
	if got := a.Reachable(now); len(got) != 1 {
		t.Errorf("reachable %v, want no peer that never spoke", got)
	}
	deliver(t, a, now, b.Letters(now)[0].Content())
	if got := a.Reachable(now); len(got) != 2 {
		t.Errorf("reachable %v, want the peer that spoke", got)
	}
	if got := a.Reachable(now.Add(silence)); len(got) != 1 {
		t.Errorf("reachable %v, want no silent peer", got)
	}
}

// FuzzReceive guards against datagrams that crash a router.
func FuzzReceive(f *testing.F) {
	a, b := pair()
	b.Start("engine")
	b.Tell(prefix.Location{Prefix: 1, Engine: 2})
	f.Add(b.Letters(5)[0].Content())
	f.Add([]byte{format, 0, 200, 1})
	f.Fuzz(func(_ *testing.T, content []byte) {
		// Malformed datagrams are errors; nothing may panic.
		_, _ = a.Receive(10, "10.0.0.9:1", content)
	})
}
