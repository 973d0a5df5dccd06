package idempotency

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

var (
	errDown = errors.New("store is down")
	errLost = errors.New("response lost")
)

// faultyStore is a store with faults. Its next write can take effect but lose
// its response ("lose"), get lost before it takes effect ("drop"), take effect
// later ("delay"), or return no revision ("blind").
type faultyStore struct {
	mu        sync.Mutex
	entries   map[string]KeyValue
	revision  int64
	leases    int64
	down      bool
	nextFault string
	delayed   []func()
}

func (f *faultyStore) Get(_ context.Context, key string) (KeyValue, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return KeyValue{}, false, errDown
	}
	kv, ok := f.entries[key]
	return kv, ok, nil
}

func (f *faultyStore) Create(ctx context.Context, key string, value []byte, lease int64) (bool, KeyValue, error) {
	return f.Swap(ctx, key, 0, value, lease)
}

func (f *faultyStore) Swap(_ context.Context, key string, revision int64, value []byte, _ int64) (bool, KeyValue, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.nextFault
	f.nextFault = ""
	switch {
	case f.down:
		return false, KeyValue{}, errDown
	case fault == "drop":
		return false, KeyValue{}, errLost
	case fault == "delay":
		f.delayed = append(f.delayed, func() { f.write(key, revision, value) })
		return false, KeyValue{}, errLost
	}
	ok, kv := f.write(key, revision, value)
	switch {
	case fault == "blind" && ok:
		return true, KeyValue{}, nil
	case fault == "blind": // stays until a write succeeds
		f.nextFault = fault
	}
	if fault == "lose" {
		return false, KeyValue{}, errLost
	}
	return ok, kv, nil
}

func (f *faultyStore) write(key string, revision int64, value []byte) (bool, KeyValue) {
	if current := f.entries[key]; current.ModRevision != revision {
		return false, current
	}
	f.revision++
	f.entries[key] = KeyValue{Value: value, ModRevision: f.revision}
	return true, f.entries[key]
}

func (f *faultyStore) GrantLease(context.Context, time.Duration) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	f.leases++
	return f.leases, nil
}

func (f *faultyStore) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.delayed {
		write()
	}
	f.delayed = nil
}

// testEnv is the state of a test script.
type testEnv struct {
	store    *faultyStore
	routers  map[string]*Records
	attempts map[string]*Attempt
	now      time.Time
}

func newTestEnv() *testEnv {
	env := &testEnv{store: &faultyStore{entries: map[string]KeyValue{}}, attempts: map[string]*Attempt{}, now: time.Unix(1e9, 0)}
	env.routers = map[string]*Records{"1": New(env.store), "2": New(env.store)}
	return env
}

func newCall(key, body string) Call {
	return Call{Service: "orderdesk", Workspace: "loom", Key: key, Method: "POST", Path: "/orders", Body: []byte(body)}
}

func (s *testEnv) beginCall(router, name, key, body string) string {
	a, recorded, err := s.routers[router].Begin(context.Background(), s.now, newCall(key, body))
	switch {
	case err != nil:
		return describeError(err)
	case recorded != nil && recorded.TooLarge:
		return fmt.Sprintf("recorded %d too large", recorded.Status)
	case recorded != nil:
		return fmt.Sprintf("recorded %d %q", recorded.Status, recorded.Body)
	}
	s.attempts[name] = a
	return "send"
}

func describeError(err error) string {
	var v *verdict.Error
	if !errors.As(err, &v) {
		return err.Error()
	}
	return fmt.Sprintf("%d %v: %v", v.Status(), v.Verdict(), err)
}

func (s *testEnv) recordState(name string) string {
	r, err := decode(s.store.entries[name].Value)
	if err != nil {
		return err.Error()
	}
	return string(r.State)
}

// TestOnce guards against a second execution and false responses under the
// failures described in the script.
func TestOnce(t *testing.T) {
	env := newTestEnv()
	name := newCall("1", "").recordKey()
	datadriven.RunTest(t, "testdata/once", func(t *testing.T, d *datadriven.TestData) string {
		key, body, router, size, arg := "1", "order", "1", 0, ""
		d.MaybeScanArgs(t, "key", &key)
		d.MaybeScanArgs(t, "body", &body)
		d.MaybeScanArgs(t, "router", &router)
		d.MaybeScanArgs(t, "size", &size)
		if len(d.CmdArgs) > 0 {
			arg = d.CmdArgs[0].Key
		}
		switch d.Cmd {
		case "reset":
			env = newTestEnv()
		case "fault":
			env.store.down = arg == "down"
			env.store.nextFault = arg
		case "arrive":
			env.store.applyDelayed()
			return "state " + env.recordState(name)
		case "advance":
			step, err := time.ParseDuration(arg)
			if err != nil {
				t.Fatal(err)
			}
			env.now = env.now.Add(step)
		case "put":
			env.store.entries[name] = KeyValue{Value: []byte(strings.TrimPrefix(d.CmdArgs[0].String(), "put ")), ModRevision: 9}
		case "leases":
			return fmt.Sprint(env.store.leases)
		case "begin":
			return env.beginCall(router, arg, key, body)
		case "may-send":
			if err := env.attempts[arg].CheckSendDelay(context.Background(), env.now); err != nil {
				return describeError(err)
			}
			return "yes"
		case "not-run":
			env.attempts[arg].RecordNotRun(context.Background(), env.now)
			return env.recordState(name)
		case "done":
			text := "by " + arg + strings.Repeat("x", max(0, size-len("by "+arg)))
			env.attempts[arg].RecordResponse(context.Background(), env.now, Response{Status: 201, Body: []byte(text)})
			return env.recordState(name)
		case "race":
			// The first attempt reads the record before the second one replaces
			// it.
			stale := env.store.entries[name]
			other := d.CmdArgs[1].Key
			second := env.beginCall("2", other, key, body)
			a := &Attempt{records: env.routers["1"], key: name, startedAt: env.now, record: record{State: stateStarted, Attempt: newAttemptID()}}
			_, _, err := a.replaceRecord(context.Background(), env.now, stale)
			return fmt.Sprintf("%s: %s\n%s: %s", arg, describeError(err), other, second)
		}
		return ""
	})
}

// tally counts outcomes over all random histories.
type tally struct{ runs, executed, refused, unknown, replayed, twice, naiveExecuted, naiveTwice int }

// sendOutcomes are the outcomes of sending a call, with the verdict of the
// router: the service ran it and responded; it ran it but the response was
// lost; it was not reached; it was reached but the connection broke before it
// ran the call.
var sendOutcomes = []struct {
	runs    bool
	verdict verdict.Verdict
}{{true, verdict.Ran}, {true, verdict.Unknown}, {false, verdict.NotRun}, {false, verdict.Unknown}}

// TestAtMostOnce guards against a second execution and against false "no" or
// "yes" verdicts. It plays random histories of callers that retry a key through
// two routers, with faults of store, service and process, and compares them
// with a router that retries every failed call.
func TestAtMostOnce(t *testing.T) {
	var total tally
	rapid.Check(t, func(t *rapid.T) {
		total.runs++
		env := newTestEnv()
		executed, naive, naiveOK := 0, 0, false
		var waiting []*Attempt
		t.Repeat(map[string]func(*rapid.T){
			"fault": func(t *rapid.T) {
				env.store.nextFault = rapid.SampledFrom([]string{"", "lose", "drop", "delay"}).Draw(t, "fault")
				env.store.down = rapid.IntRange(0, 4).Draw(t, "down") == 0
			},
			"arrive": func(*rapid.T) { env.store.applyDelayed() },
			"pause": func(t *rapid.T) {
				env.now = env.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			},
			"begin": func(t *rapid.T) {
				a, recorded, err := env.routers[rapid.SampledFrom([]string{"1", "2"}).Draw(t, "router")].Begin(context.Background(), env.now, newCall("1", "order"))
				switch {
				case recorded != nil:
					total.replayed++
					if executed != 1 {
						t.Fatalf("recorded response after %d executions", executed)
					}
				case verdict.FromError(err) == verdict.NotRun:
					total.refused++
				case err != nil:
					total.unknown++
				default:
					waiting = append(waiting, a)
				}
			},
			"send": func(t *rapid.T) {
				outcome := rapid.SampledFrom(sendOutcomes).Draw(t, "outcome")
				if !naiveOK && outcome.runs {
					naive++
				}
				naiveOK = naiveOK || outcome.verdict == verdict.Ran
				for i, a := range waiting {
					waiting = slices.Delete(waiting, i, i+1)
					if err := a.CheckSendDelay(context.Background(), env.now); err != nil {
						total.refused++
						return
					}
					if outcome.runs {
						executed++
						total.executed++
					}
					switch outcome.verdict {
					case verdict.Ran:
						a.RecordResponse(context.Background(), env.now, Response{Status: 201})
					case verdict.NotRun:
						a.RecordNotRun(context.Background(), env.now)
						total.refused++
					default:
						total.unknown++
					}
					if a.CheckSendDelay(context.Background(), env.now) == nil && outcome.verdict != verdict.Unknown {
						t.Fatal("a finished attempt may send again")
					}
					return
				}
			},
			"": func(t *rapid.T) {
				if executed > 1 {
					total.twice++
					t.Fatalf("executed %d times", executed)
				}
			},
		})
		total.naiveExecuted += naive
		if naive > 1 {
			total.naiveTwice++
		}
	})
	t.Logf("%+v", total)
	if total.twice > 0 || total.naiveTwice == 0 || total.executed == 0 || total.refused == 0 || total.unknown == 0 || total.replayed == 0 {
		t.Errorf("the random histories do not cover every outcome: %+v", total)
	}
}
