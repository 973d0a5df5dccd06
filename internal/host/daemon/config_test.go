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

func configText(version uint64) []byte {
	return []byte(fmt.Sprintf("[fleet]\nversion = %d\nmark = ab\n[defaults]\nmax_load = %d\n", version, version+10))
}

// TestConfigNeverReverts guards against activating an older version that arrives
// late from the store, a peer or an operator, and against activating an invalid
// document. A naive router that keeps the last document it received reverts in most
// runs.
func TestConfigNeverReverts(t *testing.T) {
	reverted := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newDaemon(t)
		highest, naive := uint64(0), uint64(0)
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(0, 20), 1, 20).Draw(t, "versions") {
			text := configText(v)
			if v == 0 {
				text = []byte("[defaults]\nmax_load = none\n")
			}
			active, err := d.ApplyConfig(text)
			if (err != nil) != (v == 0) {
				t.Fatalf("version %d: error %v", v, err)
			}
			if v != 0 && v < naive {
				reverted++
			}
			naive = v
			highest = max(highest, v)
			if active != highest || d.ConfigVersion() != highest {
				t.Fatalf("active version %d after applying %d, want %d", active, v, highest)
			}
		}
	})
	if reverted == 0 {
		t.Fatal("the naive router never reverted, so the test proves nothing")
	}
	t.Logf("the naive router reverted %d times", reverted)
}

// TestClassesOfActiveConfig guards against class settings that do not reach
// admission, and against unknown classes that are not treated as standard.
func TestClassesOfActiveConfig(t *testing.T) {
	d := newDaemon(t)
	if _, err := d.ApplyConfig(append(configText(1), "[class \"batch\"]\npriority = 3\n"...)); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int{"batch": 0, "interactive": 1, "standard": 2, "unknown": 2, "": 2} {
		if got := (policies{d}).Class(name).Rank(); got != want {
			t.Errorf("class %q has rank %d, want %d", name, got, want)
		}
	}
}

// TestConfigWithHungWatches guards against missing a change for which the store
// sends no watch event. Each step represents one second, the interval at which the
// router confirms the configuration by a read. The naive router relies on a watch
// alone, which it reopens in each step, and misses the change while watches hang.
func TestConfigWithHungWatches(t *testing.T) {
	const limit = 11 // s, within which a change must be active
	store := kv.New(time.Second)
	server := httptest.NewServer(store)
	defer server.Close()
	text := strings.Replace(testSettings, "http://127.0.0.1:1004", server.URL, 1)
	router, naive := newDaemonWith(t, text), newDaemonWith(t, text)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if done, _, err := router.store.Create(ctx, configKey, configText(1), 0); !done || err != nil {
		t.Fatal(done, err)
	}
	for i, hung := range []bool{false, true} {
		store.SetFaults(kv.Faults{HangWatches: hung})
		version := uint64(i + 2)
		appliedAfter := map[*Daemon]int{} // s since the change
		for s := range limit + 1 {
			stepCtx, end := context.WithTimeout(ctx, 100*time.Millisecond)
			watched := make(chan error, 1)
			go func() { watched <- naive.watchConfig(stepCtx) }()
			if s == 0 {
				time.Sleep(50 * time.Millisecond) // until the watch is open
				writeConfig(t, router, version)
			} else {
				router.confirmConfig(ctx)
			}
			<-watched
			end()
			for _, d := range []*Daemon{router, naive} {
				if _, ok := appliedAfter[d]; !ok && d.ConfigVersion() == version {
					appliedAfter[d] = s
				}
			}
		}
		after, ok := appliedAfter[router]
		naiveAfter, naiveOK := appliedAfter[naive]
		t.Logf("hung %v: active after %d s (%v), naive after %d s (%v)", hung, after, ok, naiveAfter, naiveOK)
		if !ok {
			t.Errorf("hung %v: version %d not active after %d s", hung, version, limit)
		}
		if naiveOK == hung {
			t.Errorf("hung %v: change active at the naive router: %v, so the test proves nothing", hung, naiveOK)
		}
	}
}

// writeConfig replaces the configuration in the store by the given version.
func writeConfig(t *testing.T, d *Daemon, version uint64) {
	t.Helper()
	kv, _, err := d.store.Get(t.Context(), configKey)
	if err != nil {
		t.Fatal(err)
	}
	if done, _, err := d.store.Swap(t.Context(), configKey, kv.ModRevision(), configText(version), 0); !done || err != nil {
		t.Fatal(done, err)
	}
}
