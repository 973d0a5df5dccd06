package directory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestDirectory runs the scripts in testdata. They guard against sending work to
// upstreams that are draining, evacuated or gone, and against removing those
// whose registration expired only because the store was unavailable.
func TestDirectory(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		d := New()
		now := clock.Instant(time.Hour)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var changes []Change
			switch td.Cmd {
			case "wait":
				var ms int
				td.ScanArgs(t, "ms", &ms)
				now = now.Add(time.Duration(ms) * time.Millisecond)
				changes = d.ExpireMissing(now)
			case "put":
				for _, e := range parseEntries(t, td.Input) {
					c, _ := d.Apply(now, []Update{{ID: e.ID, Entry: &e}})
					changes = append(changes, c...)
				}
			case "list":
				changes = d.Replace(now, parseEntries(t, td.Input), 0)
			case "remove":
				changes, _ = d.Apply(now, []Update{{ID: td.CmdArgs[0].Key}})
			case "outage":
				d.StoreReturned(now)
			case "announce":
				for _, u := range d.All("desk") {
					if u.ID() == td.CmdArgs[0].Key {
						before := d.Hash()
						fresh := d.MarkLeaving(u)
						if d.Hash() != before {
							t.Error("an announcement changed the hash, which peers compare")
						}
						return fmt.Sprintf("new: %t, receives: %t\n", fresh, d.Receives(u)) + formatState(d, now, nil)
					}
				}
				td.Fatalf(t, "unknown upstream")
			case "evacuate":
				domains := map[string]bool{}
				for _, a := range td.CmdArgs {
					domains[a.Key] = true
				}
				d.SetEvacuated(domains)
			default:
				td.Fatalf(t, "unknown command %s", td.Cmd)
			}
			return formatState(d, now, changes)
		})
	})
}

// parseEntries parses one upstream per line: ID, service, failure domain, state,
// heartbeat, incarnation, remaining cold start in milliseconds.
func parseEntries(t *testing.T, input string) []Entry {
	var list []Entry
	for line := range strings.Lines(input) {
		var e Entry
		var state string
		var cold int64
		if _, err := fmt.Sscan(line, &e.ID, &e.Service, &e.FailureDomain, &state, &e.Heartbeat, &e.Incarnation, &cold); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		e.Draining = state == "leaving"
		e.ColdRemaining = time.Duration(cold) * time.Millisecond
		list = append(list, e)
	}
	return list
}

func formatState(d *Directory, now clock.Instant, changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "%s %s\n", c.Kind, c.ID)
	}
	var names []string
	for _, u := range d.Receiving("desk") {
		name := u.ID()
		if u.Cold(now) {
			name += "(cold)"
		}
		names = append(names, name)
	}
	fmt.Fprintf(&b, "receiving: %s\n", strings.Join(names, " "))
	return b.String()
}

// TestRenewedColdStart guards against a cold start that routers other than the watchers
// do not learn of, since it begins before the end of an earlier one was registered.
func TestRenewedColdStart(t *testing.T) {
	begin := clock.Instant(time.Hour)
	update := func(heartbeat uint64, cold time.Duration) []Update {
		return []Update{{ID: "a", Revision: heartbeat, Entry: &Entry{ID: "a", Service: "model", Heartbeat: heartbeat, Revision: heartbeat, Incarnation: 1, ColdRemaining: cold}}}
	}
	watcher, peer := New(), New()
	for _, c := range []struct {
		after     time.Duration
		cold      time.Duration
		effective bool
	}{
		{0, 3 * time.Second, true},
		{1200 * time.Millisecond, 1800 * time.Millisecond, false},
		{2400 * time.Millisecond, 610 * time.Millisecond, false},
		{3400 * time.Millisecond, 3 * time.Second, true},
		{4600 * time.Millisecond, 1790 * time.Millisecond, false},
		{6500 * time.Millisecond, 0, true},
	} {
		now := begin.Add(c.after)
		_, effective := watcher.Apply(now, update(uint64(c.after/time.Millisecond)+1, c.cold))
		if (len(effective) > 0) != c.effective {
			t.Errorf("after %v: %d updates for peers", c.after, len(effective))
		}
		peer.Apply(now, effective)
		later := now.Add(500 * time.Millisecond)
		if w, p := watcher.All("model")[0].Cold(later), peer.All("model")[0].Cold(later); w != p {
			t.Errorf("after %v: cold for the watcher %t, for its peer %t", c.after, w, p)
		}
	}
}
