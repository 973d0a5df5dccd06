package membership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

var epoch = time.Unix(1000, 0)

// script runs the commands of one file against one Members.
type script struct {
	members *Members
	data    *datadriven.TestData
}

func (s *script) arg(key, fallback string) string {
	if a, ok := s.data.Arg(key); ok && len(a.Vals) > 0 {
		return a.Vals[0]
	}
	return fallback
}

func (s *script) hasArg(key string) bool {
	_, ok := s.data.Arg(key)
	return ok
}

func (s *script) argNumber(key string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(s.arg(key, strconv.FormatUint(fallback, 10)), 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func (s *script) argTime(key string) time.Time {
	d, err := time.ParseDuration(s.arg(key, "0s"))
	if err != nil {
		panic(err)
	}
	return epoch.Add(d)
}

func (s *script) argState() rpc.RouterState {
	return rpc.RouterState(rpc.RouterState_value["ROUTER_STATE_"+strings.ToUpper(s.arg("state", "ready"))])
}

// inputPeers parses lines "id domain region [leaving]".
func (s *script) inputPeers() []Peer {
	var list []Peer
	for line := range strings.Lines(s.data.Input) {
		f := strings.Fields(line)
		list = append(list, Peer{ID: f[0], Address: f[0] + ":1", FailureDomain: f[1], Region: f[2], Draining: len(f) > 3})
	}
	return list
}

// inputDigests parses lines "router pool load receiving age", with "-" as the
// router for the sender.
func (s *script) inputDigests() []*rpc.Digest {
	var list []*rpc.Digest
	for line := range strings.Lines(s.data.Input) {
		d := &rpc.Digest{}
		if _, err := fmt.Sscan(line, &d.Router, &d.Pool, &d.Load, &d.Receiving, &d.AgeMs); err != nil {
			panic(err)
		}
		d.Router = strings.TrimPrefix(d.Router, "-")
		list = append(list, d)
	}
	return list
}

func formatDigests(digests []*rpc.Digest) string {
	var b strings.Builder
	for _, d := range digests {
		fmt.Fprintf(&b, "%s %s %d %d %d\n", d.Router, d.Pool, d.Load, d.Receiving, d.AgeMs)
	}
	return strings.ReplaceAll("\n"+b.String(), "\n ", "\n- ")[1:]
}

var commands = map[string]func(s *script, now time.Time) string{
	"new": func(s *script, _ time.Time) string {
		s.members = New(Self{ID: s.arg("id", ""), BootID: "1", Address: "self:1", FailureDomain: s.arg("domain", "a"), Region: "r"})
		return ""
	},
	"list":  func(s *script, now time.Time) string { s.members.SetHostList(now, s.inputPeers()); return "" },
	"state": func(s *script, _ time.Time) string { s.members.SetState(s.argState()); return "" },
	"store": func(s *script, now time.Time) string { s.members.SetStoreReachable(now, s.hasArg("up")); return "" },
	"claimed": func(s *script, now time.Time) string {
		s.members.SuspendHoldOff(now)
		return ""
	},
	"config": func(s *script, now time.Time) string {
		var confirmed time.Time
		if s.hasArg("confirmed") {
			confirmed = s.argTime("confirmed")
		}
		s.members.SetConfig(now, s.argNumber("version", 0), confirmed)
		return ""
	},
	"digests": func(s *script, now time.Time) string { s.members.SetDigests(now, s.inputDigests()); return "" },
	"outgoing": func(s *script, now time.Time) string {
		r := s.members.NewRequest(now, s.hasArg("want"))
		return fmt.Sprintf("version=%d age=%d want=%v\n%s", r.ConfigVersion, r.ConfigAgeMs, r.WantHoldOff, formatDigests(r.Digests))
	},
	"receive": func(s *script, now time.Time) string {
		from := s.arg("from", "")
		r := s.members.HandleRequest(now, &rpc.ExchangeRequest{
			Router: from, Boot: s.arg("boot", "1"), Address: from + ":1", FailureDomain: s.arg("domain", "a"),
			Region: s.arg("region", "r"), State: s.argState(), ConfigVersion: s.argNumber("version", 1),
			ConfigAgeMs: uint32(s.argNumber("age", neverConfirmed)), Digests: s.inputDigests(), WantHoldOff: s.hasArg("want"),
		})
		return fmt.Sprintf("promise=%dms\n%s", r.HoldOffMs, formatDigests(r.Digests))
	},
	"merge": func(s *script, now time.Time) string {
		from := s.arg("from", "")
		s.members.HandleResponse(s.argTime("sent"), now, from+":1", &rpc.ExchangeResponse{
			Router: from, Boot: s.arg("boot", "1"), State: s.argState(), ConfigVersion: s.argNumber("version", 1),
			ConfigAgeMs: uint32(s.argNumber("age", neverConfirmed)), Digests: s.inputDigests(), HoldOffMs: uint32(s.argNumber("promise", 0)),
		})
		return ""
	},
	"show": func(s *script, now time.Time) string {
		var live []string
		for _, p := range s.members.Live(now) {
			live = append(live, p.ID)
		}
		slices.Sort(live)
		version, address := s.members.NewestConfig()
		return fmt.Sprintf("live=%v fresh=%v holdoff=%v newest=%d %s", live, s.members.Fresh(now), s.members.HeldOff(now), version, address)
	},
	"promised": func(s *script, now time.Time) string {
		return fmt.Sprint(s.members.HoldOffPromisedTo(now, s.arg("router", "")))
	},
	"pool": func(s *script, now time.Time) string {
		total, receiving := s.members.PoolLoad(now, s.arg("name", "r/s/m"))
		return fmt.Sprintf("total=%d receiving=%d", total, receiving)
	},
	"targets": func(s *script, now time.Time) string {
		seen, most := map[string]int{}, 0
		for range s.argNumber("ticks", 1) {
			t := s.members.Targets(now)
			most = max(most, len(t))
			for _, p := range t {
				seen[p.FailureDomain]++
				seen[p.ID]++
			}
		}
		return fmt.Sprintf("most=%d reached=%d a=%d b=%d c=%d", most, len(seen)-3, seen["a"], seen["b"], seen["c"])
	},
	"fleet": func(s *script, now time.Time) string {
		var list []Peer
		for i := range int(s.argNumber("routers", 0)) {
			list = append(list, Peer{ID: fmt.Sprintf("r%d", i), Address: fmt.Sprint(i), FailureDomain: string("abc"[i%3]), Region: "r"})
		}
		s.members.SetHostList(now, list)
		return ""
	},
}

// TestScripts runs the scripts in testdata. The head of each names the failure
// that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.data = d
			command, ok := commands[d.Cmd]
			if !ok {
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			return command(s, s.argTime("at"))
		})
	})
}
