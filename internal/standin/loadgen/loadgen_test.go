package loadgen

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/hosts"
)

// TestNaiveModes guards against a baseline that misses cache hits. A single
// engine that evicts nothing caches the whole earlier prompt of every returning
// turn, in each of the naive modes.
func TestNaiveModes(t *testing.T) {
	for _, mode := range []string{ModeRendezvous, ModeLeastLoaded} {
		t.Run(mode, func(t *testing.T) {
			engineOptions := engine.Defaults()
			engineOptions.ColdLimit = 8
			server := httptest.NewServer(engine.New(engineOptions))
			defer server.Close()
			hostList := httptest.NewServer(hosts.New([]hosts.Target{{
				Targets: []string{strings.TrimPrefix(server.URL, "http://")},
				Labels:  map[string]string{"id": "e", "kind": "engine", "service": "s", "model": engineOptions.Model, "failure_domain": "d", "region": "r", "state": "live"},
			}}))
			defer hostList.Close()
			options := Defaults()
			options.Mode, options.HostListURL, options.EngineURLs, options.PhaseStarts = mode, hostList.URL+"/hosts", []string{server.URL}, []time.Duration{time.Nanosecond}
			options.APIKeys, options.MaxRequests, options.Workers, options.ChatsPerWorkspace = map[string]string{"w": "k"}, 40, 4, 4
			r, err := Run(context.Background(), options)
			if err != nil {
				t.Fatal(err)
			}
			if r.Count("complete") != 40 || r.phases[1].Count("complete") != 40 || r.Count("returning_turns") == 0 {
				t.Fatalf("counts %v, second phase %v", r.counts, r.phases[1].counts)
			}
			if cached, best := r.Count("returning_cached_tokens"), r.Count("returning_best_tokens"); cached != best || best == 0 {
				t.Errorf("%d cached tokens of returning turns, best possible %d", cached, best)
			}
		})
	}
}
