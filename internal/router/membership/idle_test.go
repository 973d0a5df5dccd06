package membership

import "testing"

// TestIdleExchanges guards against an idle fleet that exchanges as much as a busy
// one. It also guards against reduced exchanges that make a peer seem dead, a
// configuration stale, a load unknown or a restarted router unknown.
func TestIdleExchanges(t *testing.T) {
	f := newFleet(fleetShapes[0].shape, true)
	all := len(f.members) * (len(f.members) - 1)
	f.idle = true
	for _, step := range []struct {
		name     string
		prepare  func()
		rounds   int
		min, max int // exchanges, in full rounds of all routers
	}{
		{"start", func() {}, 10, 10, 10},
		{"idle", func() {}, 40, 10, 30},
		{"restart", func() {
			m := New(Self{ID: f.peers[2].ID, BootID: "2", Address: f.peers[2].Address, FailureDomain: f.peers[2].FailureDomain, Region: f.peers[2].Region})
			m.SetState(f.members[2].state)
			m.SetHostList(f.now, f.peers)
			m.SetStoreReachable(f.now, true)
			f.members[2] = m
			f.tick(true)
			f.tick(true)
		}, 8, 2, 8},
		{"load", func() { f.idle = false }, 1, 1, 1},
	} {
		step.prepare()
		f.resetCounters()
		for range step.rounds {
			f.tick(true)
			if fresh, _, live := f.health(true); min(fresh, live) < 99.9 {
				t.Fatalf("%s: %.0f%% fresh, %.0f%% live", step.name, fresh, live)
			}
		}
		if f.exchanges < step.min*all || f.exchanges > step.max*all {
			t.Errorf("%s: %d calls in %d rounds to %d peers", step.name, f.exchanges, step.rounds, all)
		}
	}
}
