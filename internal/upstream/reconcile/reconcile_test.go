package reconcile

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/weightslots"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// fakeEngine records the highest fencing token and, with checksFencing, rejects
// lower ones.
type fakeEngine struct {
	config        engine.ServingConfig
	fencing       uint64
	checksFencing bool
	ignores       bool // accepts changes and does not apply them
	slow          bool // loads for longer than the call timeout
	log           []string
}

func (e *fakeEngine) ServingConfig(context.Context, string) (engine.ServingConfig, error) {
	return e.config, nil
}

func (e *fakeEngine) SetServingConfig(ctx context.Context, _ string, fencing uint64, cfg engine.ServingConfig) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if e.checksFencing && fencing < e.fencing {
		return engine.ErrStaleFencing
	}
	e.fencing = max(e.fencing, fencing)
	if e.slow {
		return fmt.Errorf("fake engine: %w", context.DeadlineExceeded)
	}
	e.log = append(e.log, fmt.Sprintf("model=%s role=%s fencing=%d", cfg.Model, cfg.Role, fencing))
	if cfg.Model != "" && !e.ignores {
		e.config.Model = cfg.Model
	}
	if cfg.Role != "" && !e.ignores {
		e.config.Role = cfg.Role
	}
	return nil
}

// fakeStore keeps slots without expiry, as the store does within one interval.
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

// TestReconcile guards against changes by an earlier owner, against more loads of
// weights than the slots permit, and against changes that are sent again or
// counted as applied without a check of the engine's state.
func TestReconcile(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		// The test starts at the real time because contexts use the real clock.
		start := time.Now()
		now, lease, pause := start, start.Add(9*time.Second), time.Duration(0)
		e := &fakeEngine{config: engine.ServingConfig{Model: "old", Role: "decode"}}
		slots := weightslots.NewAllocator(&fakeStore{keys: map[string]etcd.KeyValue{}}, "router-1")
		clock := func() time.Time { now = now.Add(pause); return now }
		r := New(e, slots, func() time.Time { return lease }, 9*time.Second, clock)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(key string, defaultValue int) int {
				if d.HasArg(key) {
					d.ScanArgs(t, key, &defaultValue)
				}
				return defaultValue
			}
			switch d.Cmd {
			case "engine":
				e.checksFencing, e.ignores, e.slow = d.HasArg("checks"), d.HasArg("deaf"), d.HasArg("slow")
				e.fencing = uint64(number("fencing", int(e.fencing)))
				return "ok\n"
			case "time":
				now = start.Add(time.Duration(number("s", 0)) * time.Second)
				lease = start.Add(time.Duration(number("lease", 9)) * time.Second)
				pause = time.Duration(number("pause", 0)) * time.Second
				return "ok\n"
			case "step":
				target := Target{
					Upstream: "drafter-1", Fencing: uint64(number("fencing", 1)), ChecksFencing: e.checksFencing,
					ClaimedAt: start.Add(time.Duration(number("since", -20)) * time.Second), Slots: 1, SlotInterval: time.Minute,
				}
				for _, a := range d.CmdArgs {
					switch a.Key {
					case "model":
						target.Desired.Model = a.Vals[0]
					case "role":
						target.Desired.Role = a.Vals[0]
					}
				}
				e.log = nil
				changed, err := r.Reconcile(context.Background(), target)
				return strings.Join(append([]string{fmt.Sprintf("given=%t error=%v", changed, err)}, e.log...), "\n") + "\n"
			}
			return "no such command\n"
		})
	})
}
