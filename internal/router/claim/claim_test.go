package claim

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

var epoch = time.Unix(1000, 0)

// script runs the commands of one file against one Claims. It also implements
// Peers and OwnershipHandler.
type script struct {
	claims        *Claims
	store         *fakeStore
	data          *datadriven.TestData
	now           time.Time
	live, stable  []membership.Peer
	listedSince   time.Time
	holdOffUntil  time.Time
	promisedUntil map[string]time.Time
	otherLeases   map[string]int64 // by router
	output        strings.Builder
}

func (s *script) Live(time.Time) []membership.Peer   { return s.live }
func (s *script) Stable(time.Time) []membership.Peer { return s.stable }
func (s *script) MayHaveRouters(_ time.Time, domain string) bool {
	return slices.ContainsFunc(s.live, func(p membership.Peer) bool { return p.FailureDomain == domain })
}

func (s *script) ListedSince(time.Time) (time.Time, bool) {
	return s.listedSince, !s.listedSince.IsZero()
}
func (s *script) HoldOffUntil(time.Time) time.Time { return s.holdOffUntil }
func (s *script) HoldOffPromisedTo(now time.Time, id string) bool {
	return now.Before(s.promisedUntil[id])
}
func (s *script) SuspendHoldOff(now time.Time) { s.logEvent(now, "no promises") }
func (s *script) Size() int                    { return len(s.live) }

func (s *script) logEvent(now time.Time, format string, args ...any) {
	fmt.Fprintf(&s.output, "%v: %s\n", now.Sub(epoch), fmt.Sprintf(format, args...))
}

func (s *script) Gained(now time.Time, upstream string, fencing uint64, handover *rpc.HandoverRequest, first bool) {
	s.logEvent(now, "gained %s token=%d handover=%v first=%v", upstream, fencing, handover != nil, first)
}

func (s *script) FencingChanged(now time.Time, upstream string, fencing uint64) {
	s.logEvent(now, "renewed %s token=%d", upstream, fencing)
}

func (s *script) Lost(now time.Time, upstream string) { s.logEvent(now, "lost %s", upstream) }

func (s *script) StartHandover(now time.Time, upstream string, to membership.Peer) {
	s.logEvent(now, "hand over %s to %s", upstream, to.ID)
}

func (s *script) arg(key string) string {
	if a, ok := s.data.Arg(key); ok && len(a.Vals) > 0 {
		return a.Vals[0]
	}
	return ""
}

func (s *script) hasArg(key string) bool {
	_, ok := s.data.Arg(key)
	return ok
}

func (s *script) argTime(key string) time.Time {
	d, err := time.ParseDuration(s.arg(key))
	if err != nil {
		panic(err)
	}
	return epoch.Add(d)
}

// advance calls Step every 100 ms until the given time. With the argument
// "paused" it moves the clock without calling Step.
func (s *script) advance(until time.Time) {
	for s.now.Before(until) {
		s.now = s.now.Add(100 * time.Millisecond)
		if s.hasArg("paused") {
			s.now = until
		}
		s.store.advance(s.now)
		if !s.hasArg("paused") {
			s.claims.Step(s.now)
			s.claims.performPending()
		}
	}
}

var faultsByName = map[string]storeFault{"up": faultNone, "down": faultDown, "lost": faultLost, "late": faultLate}

var commands = map[string]func(s *script){
	"new": func(s *script) {
		*s = script{data: s.data, now: epoch, store: newFakeStore(epoch), listedSince: epoch.Add(-time.Hour), promisedUntil: map[string]time.Time{}, otherLeases: map[string]int64{}}
		s.claims = New(s.store, Self{ID: s.arg("id"), BootID: "1", Address: s.arg("id"), FailureDomain: "a", Region: "r"}, s, s)
	},
	"upstreams": func(s *script) {
		var list []Upstream
		for line := range strings.Lines(s.data.Input) {
			f := strings.Fields(line)
			list = append(list, Upstream{ID: f[0], FailureDomain: f[1], Region: "r"})
		}
		s.claims.SetUpstreams(s.now, list)
	},
	"peers": func(s *script) {
		s.live, s.stable = nil, nil
		for line := range strings.Lines(s.data.Input) {
			f := strings.Fields(line)
			p := membership.Peer{ID: f[0], Address: f[0], FailureDomain: f[1], Region: "r"}
			s.live = append(s.live, p)
			if len(f) == 2 {
				s.stable = append(s.stable, p)
			}
		}
	},
	"listed": func(s *script) {
		s.listedSince = time.Time{}
		if s.hasArg("since") {
			s.listedSince = s.argTime("since")
		}
	},
	"holdoff": func(s *script) { s.holdOffUntil = s.argTime("until") },
	"promise": func(s *script) { s.promisedUntil[s.arg("router")] = s.argTime("until") },
	"store":   func(s *script) { s.store.nextFault = faultsByName[s.data.CmdArgs[0].Key] },
	"land":    func(s *script) { s.store.applyLate() },
	"leave":   func(s *script) { s.claims.Drain() },
	// other creates another router's claim, whose lease lasts 9 s.
	"other": func(s *script) {
		router := s.arg("router")
		fault := s.store.nextFault
		s.store.nextFault = faultNone
		s.otherLeases[router], _ = s.store.GrantLease(context.Background(), LeaseTTL)
		value := Holder{Router: router, BootID: "1"}.encode()
		done, _, _, _ := s.store.Create(context.Background(), OwnerPrefix+s.arg("upstream"), MarkerPrefix+s.arg("upstream"), value, s.otherLeases[router])
		s.store.nextFault = fault
		s.logEvent(s.now, "%s claimed: %v", router, done)
	},
	// swap swaps this router's claim to another router.
	"swap": func(s *script) {
		key := OwnerPrefix + s.arg("upstream")
		lease, _ := s.store.GrantLease(context.Background(), LeaseTTL)
		done, kv, _ := s.store.Swap(context.Background(), key, MarkerPrefix+s.arg("upstream"), s.store.keys[key].ModRevision, Holder{Router: s.arg("router"), BootID: "1"}.encode(), lease)
		s.logEvent(s.now, "swapped: %v token=%d", done, kv.ModRevision)
	},
	// remove deletes a claim from the store, and its marker if requested.
	"remove": func(s *script) {
		delete(s.store.keys, OwnerPrefix+s.arg("upstream"))
		if s.hasArg("marker") {
			delete(s.store.markers, MarkerPrefix+s.arg("upstream"))
		}
	},
	"run": func(s *script) { s.advance(s.argTime("until")) },
	"accept": func(s *script) {
		key := OwnerPrefix + s.arg("upstream")
		r := &rpc.HandoverRequest{Router: s.arg("from"), Upstream: s.arg("upstream"), Fencing: uint64(s.store.keys[key].ModRevision)}
		s.logEvent(s.now, "accepted: %v", s.claims.AcceptHandover(s.now, r))
	},
	"handed": func(s *script) { s.claims.FinishHandover(s.now, s.arg("upstream"), s.hasArg("accepted")) },
	"show": func(s *script) {
		s.logEvent(s.now, "owned=%v full=%v reachable=%v want=%v left=%v",
			s.claims.Owned(), s.claims.FullLimitAllowed(s.now), s.claims.StoreReachable(), s.claims.WantsHoldOff(s.now), s.claims.Drained())
	},
	"owner": func(s *script) { s.logEvent(s.now, "%s", s.claims.OwnerOf(s.arg("upstream"))) },
	"keys": func(s *script) {
		for _, id := range slices.Sorted(func(yield func(string) bool) {
			for k := range s.store.keys {
				if !yield(k) {
					return
				}
			}
		}) {
			h, _ := ParseHolder(s.store.keys[id].Value)
			s.logEvent(s.now, "%s %s token=%d", upstreamID(id), h.Router, s.store.keys[id].ModRevision)
		}
	},
	"markers": func(s *script) { s.logEvent(s.now, "%v", slices.Sorted(maps.Keys(s.store.markers))) },
	"calls": func(s *script) {
		var names []string
		for name, n := range s.store.callCounts {
			names = append(names, name+"="+strconv.Itoa(n))
		}
		slices.Sort(names)
		s.logEvent(s.now, "%s", strings.Join(names, " "))
		clear(s.store.callCounts)
	},
}

// TestScripts runs the scripts in testdata. The head of each names the failure
// that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.data = d
			s.output.Reset()
			command, ok := commands[d.Cmd]
			if !ok {
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			command(s)
			return s.output.String()
		})
	})
}

// silentStore is a store whose GrantLease never responds.
type silentStore struct{ *fakeStore }

func (silentStore) GrantLease(ctx context.Context, _ time.Duration) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestSilentStore guards against a Step or an admission that blocks on a store
// that does not respond, and against a call that never ends.
func TestSilentStore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &script{listedSince: epoch}
	c := New(silentStore{newFakeStore(epoch)}, Self{ID: "ra"}, s, s)
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	start := time.Now()
	for range 100 {
		c.Step(time.Now())
		c.FullLimitAllowed(time.Now())
	}
	if took := time.Since(start); took > callTimeout/2 {
		t.Errorf("100 steps took %v", took)
	}
	select {
	case <-c.Wake():
		c.Step(time.Now())
	case <-time.After(5 * callTimeout):
		t.Error("the call did not end")
	}
	if c.StoreReachable() || c.FullLimitAllowed(time.Now()) {
		t.Error("a silent store counts as reachable")
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
