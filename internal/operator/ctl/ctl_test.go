package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
)

// Faults that the fake store injects into a write.
const (
	noFault      = iota
	dropRequest  // the write is not executed and has no response
	dropResponse // the write is executed but has no response
)

// fakeStore is a store with only the configuration key.
type fakeStore struct {
	mu              sync.Mutex
	value           []byte
	modRevision     int64
	faults          []int // for the next writes
	concurrentReads *sync.WaitGroup
}

func (s *fakeStore) Get(context.Context, string) (etcd.KeyValue, bool, error) {
	s.mu.Lock()
	kv := etcd.NewKeyValue(ConfigKey, s.value, s.modRevision, 1, 0)
	s.mu.Unlock()
	if s.concurrentReads != nil {
		s.concurrentReads.Done()
		s.concurrentReads.Wait()
	}
	return kv, kv.ModRevision() > 0, nil
}

func (s *fakeStore) Create(ctx context.Context, key string, value []byte, lease int64) (bool, etcd.KeyValue, error) {
	return s.Swap(ctx, key, 0, value, lease)
}

func (s *fakeStore) Swap(_ context.Context, _ string, mod int64, value []byte, _ int64) (bool, etcd.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := noFault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	swapped := fault != dropRequest && s.modRevision == mod
	if swapped {
		s.value, s.modRevision = value, s.modRevision+1
	}
	if fault != noFault {
		return false, etcd.KeyValue{}, fmt.Errorf("swap: %w", etcd.ErrUnavailable)
	}
	return swapped, etcd.NewKeyValue(ConfigKey, s.value, s.modRevision, 1, 0), nil
}

func (s *fakeStore) document(t testing.TB) *fleetconfig.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, err := fleetconfig.Parse(s.value)
	if err != nil {
		t.Error(err)
	}
	return d
}

func (s *fakeStore) run(out io.Writer, args ...string) int {
	c := newCLI(out)
	c.openStore = func([]string) Store { return s }
	c.storeRetryDelay = time.Millisecond
	return c.run(context.Background(), append(args, "--store", "fake", "--timeout", "300ms"), out)
}

// TestConcurrentEdits guards against an edit that overwrites a concurrent one, or
// whose reported outcome is wrong: written although it was not, or the reverse.
// Both can come from lost store responses and from two runs that read the same
// version.
func TestConcurrentEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := "[fleet]\nversion = 1\nmark = aa\n[defaults]\nload_floor = 4\n"
		s := &fakeStore{value: []byte(base), modRevision: 7}
		s.faults = rapid.SliceOfN(rapid.IntRange(noFault, dropResponse), 0, 6).Draw(t, "faults")
		if rapid.Bool().Draw(t, "both read first") {
			s.concurrentReads = &sync.WaitGroup{}
			s.concurrentReads.Add(2)
		}
		edits := [][]string{
			{"config", "set", "defaults", rapid.SampledFrom([]string{"load_floor", "load_factor"}).Draw(t, "key"), "7"},
			{"config", "set", "defaults", "load_floor", "9"},
		}
		codes := make([]int, len(edits))
		outputs := make([]bytes.Buffer, len(edits))
		var group sync.WaitGroup
		for i, e := range edits {
			group.Go(func() { codes[i] = s.run(&outputs[i], e...) })
		}
		group.Wait()
		succeeded := 0
		for i, code := range codes {
			switch code {
			case 0:
				succeeded++
			case exitConflict, exitUnknownOutcome:
			default:
				t.Fatalf("exit code %d: %s", code, outputs[i].String())
			}
		}
		d, err := fleetconfig.Parse(s.value)
		if err != nil {
			t.Fatal(err)
		}
		// Each success adds one version, and each unknown outcome at most one.
		unknown := 0
		for _, code := range codes {
			if code == exitUnknownOutcome {
				unknown++
			}
		}
		if versions := int(d.Version()) - 1; versions < succeeded || versions > succeeded+unknown {
			t.Fatalf("%d versions written, exit codes %v", versions, codes)
		}
		if succeeded == 2 && edits[0][3] == "load_factor" {
			changes := fleetconfig.Diff(must(fleetconfig.Parse([]byte(base))), d)
			if len(changes) != 2 {
				t.Fatalf("a change was lost: %v", changes)
			}
		}
		if s.concurrentReads != nil && succeeded == 2 {
			t.Fatal("both changes of the same version were accepted")
		}
	})
}

func must(d *fleetconfig.Document, err error) *fleetconfig.Document {
	if err != nil {
		panic(err)
	}
	return d
}

// fakeFleet serves a host list and the operators' endpoints of its routers.
type fakeFleet struct {
	mu          sync.Mutex
	unavailable map[string]bool // routers that respond with 503
	versions    map[string]uint64
	routers     map[string]*httptest.Server
}

// fakeHosts are the routers and upstreams of the fake fleet.
var fakeHosts = [][]string{ // id, kind, failure domain, region
	{"router-1", "router", "dalton-a", "us-se"},
	{"router-2", "router", "dalton-b", "us-se"},
	{"router-3", "router", "dalton-c", "us-se"},
	{"router-4", "router", "kranj-c", "slo-central"},
	{"drafter-1", "engine", "dalton-a", "us-se"},
}

func newFakeFleet(t *testing.T) (*fakeFleet, string) {
	f := &fakeFleet{unavailable: map[string]bool{}, versions: map[string]uint64{}}
	var list []map[string]any
	for _, host := range fakeHosts {
		labels := map[string]string{"id": host[0], "kind": host[1], "failure_domain": host[2], "region": host[3], "state": "live"}
		if host[1] == "engine" {
			labels["service"], labels["model"] = "drafter", "loom"
		} else {
			server := httptest.NewServer(f.router(host[0]))
			t.Cleanup(server.Close)
			labels["operators"] = server.Listener.Addr().String()
		}
		list = append(list, map[string]any{"targets": []string{"127.0.0.1:1"}, "labels": labels})
	}
	body, _ := json.Marshal(list)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	t.Cleanup(server.Close)
	return f, server.URL
}

func (f *fakeFleet) router(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.unavailable[id] {
			http.Error(w, "starting", http.StatusServiceUnavailable)
			return
		}
		switch r.URL.Path {
		case "/config":
			body, _ := io.ReadAll(r.Body)
			f.versions[id] = must(fleetconfig.Parse(body)).Version()
			fmt.Fprintf(w, `{"version":%d}`, f.versions[id])
		case "/status":
			fmt.Fprintf(w, `{"version":%d,"state":"ready"}`, f.versions[id])
		case "/explain":
			if r.URL.RawQuery == "request=r1" && id == "router-2" {
				fmt.Fprint(w, `[{"outcome":"granted"}]`)
				return
			}
			fmt.Fprint(w, `[]`)
		}
	})
}

var randomMark = regexp.MustCompile(`mark( *)= [0-9a-f]{24}`)

// TestScripts guards against rejected commands that still change the store, and
// against reports of more confirmations than the routers gave.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		store, directory := &fakeStore{}, t.TempDir()
		f, url := newFakeFleet(t)
		datadriven.RunTest(t, path, func(t *testing.T, c *datadriven.TestData) string {
			switch c.Cmd {
			case "file":
				if err := os.WriteFile(filepath.Join(directory, c.CmdArgs[0].Key), []byte(c.Input), 0o600); err != nil {
					t.Fatal(err)
				}
			case "refuse":
				f.unavailable = map[string]bool{}
				for _, a := range c.CmdArgs {
					f.unavailable[a.Key] = true
				}
			case "lose":
				for _, a := range c.CmdArgs {
					store.faults = append(store.faults, map[string]int{"before": dropRequest, "after": dropResponse}[a.Key])
				}
			case "run", "run-without-hosts":
				args := strings.Split(strings.ReplaceAll(c.Input, "DIR", directory), "\n")
				if c.Cmd == "run" {
					args = append(args, "--hosts", url)
				}
				before := string(store.value)
				var out bytes.Buffer
				code := store.run(&out, args...)
				text := strings.ReplaceAll(out.String(), directory, "DIR")
				if code != 0 {
					text += "exit " + strconv.Itoa(code) + "\n"
				}
				if before != string(store.value) {
					text += fmt.Sprintf("store now at version %d\n", store.document(t).Version())
				}
				return randomMark.ReplaceAllString(text, "mark$1= MARK")
			default:
				t.Fatalf("unknown command %s", c.Cmd)
			}
			return "ok\n"
		})
	})
}
