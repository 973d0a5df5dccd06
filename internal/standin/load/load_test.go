package load

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
			o := engine.Defaults()
			o.ColdLimit = 8
			e := httptest.NewServer(engine.New(o))
			defer e.Close()
			list := httptest.NewServer(hosts.New([]hosts.Target{{
				Targets: []string{strings.TrimPrefix(e.URL, "http://")},
				Labels:  map[string]string{"id": "e", "kind": "engine", "service": "s", "model": o.Model, "failure_domain": "d", "region": "r", "state": "live"},
			}}))
			defer list.Close()
			l := Defaults()
			l.Mode, l.HostListURL, l.EngineURLs, l.PhaseStarts = mode, list.URL+"/hosts", []string{e.URL}, []time.Duration{time.Nanosecond}
			l.APIKeys, l.MaxRequests, l.Workers, l.ChatsPerWorkspace = map[string]string{"w": "k"}, 40, 4, 4
			r, err := Run(context.Background(), l)
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
