package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
)

const (
	// skewInterval is the time between two samples of the engines' load.
	skewInterval = 100 * time.Millisecond
	// skewLoad is the mean load in requests below which a sample is left out:
	// one request more or less makes most of the skew of nearly idle engines.
	skewLoad = 2
)

// sampleSkew records largest over mean load of the engines that answer, until
// ctx ends.
func (g *generator) sampleSkew(ctx context.Context) {
	for clock.Sleep(ctx, skewInterval) {
		loads := sampleLoads(ctx, g.options.Engines)
		most, total := 0, 0
		for _, n := range loads {
			most, total = max(most, n), total+n
		}
		if total < skewLoad*len(loads) || total == 0 {
			continue
		}
		skew := int64(most * len(loads) * skewUnit / total)
		g.mu.Lock()
		_ = g.result.skew.RecordValue(min(skew, skewMost)) // within the range
		if len(g.result.phases) > 0 {
			_ = g.result.phases[g.phase()].skew.RecordValue(min(skew, skewMost)) // within the range
		}
		g.mu.Unlock()
	}
}

// sampleLoads returns the running and waiting requests of each engine that
// answers, read from all at once.
func sampleLoads(ctx context.Context, urls []string) []int {
	var mu sync.Mutex
	var loads []int
	var group sync.WaitGroup
	for _, url := range urls {
		group.Go(func() {
			status, body, err := fetch(ctx, url+"/stats")
			var s engine.Stats
			if err != nil || status != http.StatusOK || json.Unmarshal(body, &s) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			loads = append(loads, s.Running+s.Waiting)
		})
	}
	group.Wait()
	return loads
}
