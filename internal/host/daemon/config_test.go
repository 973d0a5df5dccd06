package daemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/kv"
)

const testSettings = `[daemon]
id = router-1
failure_domain = dalton-a
region = us-se
callers = 127.0.0.1:1001
routers = 127.0.0.1:1002
operators = 127.0.0.1:1003
key_secret = 0123456789abcdef
log_level = error
[platform]
store = http://127.0.0.1:1004
hosts = http://127.0.0.1:1005/hosts
`

func newDaemon(t rapid.TB) *Daemon { return newDaemonWith(t, testSettings) }

func newDaemonWith(t rapid.TB, text string) *Daemon {
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func document(version uint64) []byte {
	return []byte(fmt.Sprintf("[fleet]\nversion = %d\nmark = ab\n[defaults]\nmax_load = %d\n", version, version+10))
}

// TestConfigNeverReverts guards against an older version that arrives late, from
// the store, a peer or an operator, and against a document that is not valid.
// A naive router that keeps the last document it saw goes back in most runs.
func TestConfigNeverReverts(t *testing.T) {
	reverted := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newDaemon(t)
		highest, naive := uint64(0), uint64(0)
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(0, 20), 1, 20).Draw(t, "versions") {
			text := document(v)
			if v == 0 {
				text = []byte("[defaults]\nmax_load = none\n")
			}
			inForce, err := d.Deliver(text)
			if (err != nil) != (v == 0) {
				t.Fatalf("version %d: error %v", v, err)
			}
			if v != 0 && v < naive {
				reverted++
			}
			naive = v
			highest = max(highest, v)
			if inForce != highest || d.ConfigVersion() != highest {
				t.Fatalf("version %d in force after %d, want %d", inForce, v, highest)
			}
		}
	})
	if reverted == 0 {
		t.Fatal("the naive router never went back; the test shows nothing")
	}
	t.Logf("the naive router went back %d times", reverted)
}

// TestClassesInForce guards against a configuration whose classes do not reach
// admission, and against another treatment of unknown classes than as standard.
func TestClassesInForce(t *testing.T) {
	d := newDaemon(t)
	if _, err := d.Deliver(append(document(1), "[class \"batch\"]\npriority = 3\n"...)); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int{"batch": 0, "interactive": 1, "standard": 2, "unknown": 2, "": 2} {
		if got := (policies{d}).Class(name).Rank(); got != want {
			t.Errorf("class %q has rank %d, want %d", name, got, want)
		}
	}
}

// TestConfigWithMuteWatches guards against a change that the store never
// announces. One step stands for a second, the time between two confirmations
// by reads. The naive router relies on a watch alone, which it opens again in
// each step; it keeps up only while watches work.
func TestConfigWithMuteWatches(t *testing.T) {
	const limit = 11 // s, within which a change must be in force
	store := kv.New(time.Second)
	server := httptest.NewServer(store)
	defer server.Close()
	text := strings.Replace(testSettings, "http://127.0.0.1:1004", server.URL, 1)
	ours, naive := newDaemonWith(t, text), newDaemonWith(t, text)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if done, _, err := ours.store.Create(ctx, configKey, document(1), 0); !done || err != nil {
		t.Fatal(done, err)
	}
	for i, mute := range []bool{false, true} {
		store.SetFaults(kv.Faults{HangWatches: mute})
		version := uint64(i + 2)
		inForce := map[*Daemon]int{} // s after the change
		for s := range limit + 1 {
			step, end := context.WithTimeout(ctx, 100*time.Millisecond)
			watched := make(chan error, 1)
			go func() { watched <- naive.watch(step) }()
			if s == 0 {
				time.Sleep(50 * time.Millisecond) // until the watch is open
				change(t, ours, version)
			} else {
				ours.confirm(ctx)
			}
			<-watched
			end()
			for _, d := range []*Daemon{ours, naive} {
				if _, ok := inForce[d]; !ok && d.ConfigVersion() == version {
					inForce[d] = s
				}
			}
		}
		at, ok := inForce[ours]
		naiveAt, naiveOK := inForce[naive]
		t.Logf("mute %v: in force after %d s (%v), naive after %d s (%v)", mute, at, ok, naiveAt, naiveOK)
		if !ok {
			t.Errorf("mute %v: version %d not in force after %d s", mute, version, limit)
		}
		if naiveOK == mute {
			t.Errorf("mute %v: naive router in force %v; the test shows nothing", mute, naiveOK)
		}
	}
}

// change writes a version of the configuration to the store.
func change(t *testing.T, d *Daemon, version uint64) {
	t.Helper()
	kv, _, err := d.store.Get(t.Context(), configKey)
	if err != nil {
		t.Fatal(err)
	}
	if done, _, err := d.store.Swap(t.Context(), configKey, kv.ModRevision(), document(version), 0); !done || err != nil {
		t.Fatal(done, err)
	}
}
