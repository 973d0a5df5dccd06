package order

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/weights"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// fakeEngine keeps the highest token; checks says whether it refuses older ones.
type fakeEngine struct {
	state   engine.Order
	fencing uint64
	checks  bool
	deaf    bool
	slow    bool // loads longer than the call lasts
	log     []string
}

func (e *fakeEngine) Orders(context.Context, string) (engine.Order, error) { return e.state, nil }

func (e *fakeEngine) Order(ctx context.Context, _ string, fencing uint64, o engine.Order) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if e.checks && fencing < e.fencing {
		return engine.ErrStaleFencing
	}
	e.fencing = max(e.fencing, fencing)
	if e.slow {
		return fmt.Errorf("order: %w", context.DeadlineExceeded)
	}
	e.log = append(e.log, fmt.Sprintf("model=%s role=%s fencing=%d", o.Model, o.Role, fencing))
	if o.Model != "" && !e.deaf {
		e.state.Model = o.Model
	}
	if o.Role != "" && !e.deaf {
		e.state.Role = o.Role
	}
	return nil
}

// fakeStore keeps slots without expiry, as within one interval.
type fakeStore struct{ keys map[string]etcd.KeyValue }

func (s *fakeStore) List(context.Context, string) ([]etcd.KeyValue, int64, error) {
	var list []etcd.KeyValue
	for _, kv := range s.keys {
		list = append(list, kv)
	}
	return list, 1, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (etcd.KeyValue, bool, error) {
	kv, ok := s.keys[key]
	return kv, ok, nil
}

func (s *fakeStore) Create(_ context.Context, key string, value []byte, lease int64) (bool, etcd.KeyValue, error) {
	if kv, ok := s.keys[key]; ok {
		return false, kv, nil
	}
	s.keys[key] = etcd.NewKeyValue(key, value, 1, 1, lease)
	return true, s.keys[key], nil
}

func (s *fakeStore) GrantLease(context.Context, time.Duration) (int64, error) { return 1, nil }

// TestOrders guards against orders of an earlier owner, against more loads of
// weights than the store allows, and against orders that are repeated or
// believed without a look at the engine's state.
func TestOrders(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		// The start is the real time because contexts use the real clock.
		start := time.Now()
		now, lease, pause := start, start.Add(9*time.Second), time.Duration(0)
		e := &fakeEngine{state: engine.Order{Model: "old", Role: "decode"}}
		slots := weights.NewAllocator(&fakeStore{keys: map[string]etcd.KeyValue{}}, "router-1")
		clock := func() time.Time { now = now.Add(pause); return now }
		r := New(e, slots, func() time.Time { return lease }, 9*time.Second, clock)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(key string, fallback int) int {
				if d.HasArg(key) {
					d.ScanArgs(t, key, &fallback)
				}
				return fallback
			}
			switch d.Cmd {
			case "engine":
				e.checks, e.deaf, e.slow = d.HasArg("checks"), d.HasArg("deaf"), d.HasArg("slow")
				e.fencing = uint64(number("fencing", int(e.fencing)))
				return "ok\n"
			case "time":
				now = start.Add(time.Duration(number("s", 0)) * time.Second)
				lease = start.Add(time.Duration(number("lease", 9)) * time.Second)
				pause = time.Duration(number("pause", 0)) * time.Second
				return "ok\n"
			case "step":
				target := Target{
					Upstream: "drafter-1", Fencing: uint64(number("fencing", 1)), ChecksFencing: e.checks,
					Since: start.Add(time.Duration(number("since", -20)) * time.Second), Slots: 1, Interval: time.Minute,
				}
				for _, a := range d.CmdArgs {
					switch a.Key {
					case "model":
						target.Wanted.Model = a.Vals[0]
					case "role":
						target.Wanted.Role = a.Vals[0]
					}
				}
				e.log = nil
				given, err := r.Step(context.Background(), target)
				return strings.Join(append([]string{fmt.Sprintf("given=%t error=%v", given, err)}, e.log...), "\n") + "\n"
			}
			return "no such command\n"
		})
	})
}
