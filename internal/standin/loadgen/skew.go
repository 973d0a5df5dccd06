package loadgen

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
	// skewInterval is the time between samples of the engines' load.
	skewInterval = 100 * time.Millisecond
	// minMeanLoad is the mean number of requests per engine below which a sample is
	// ignored: on nearly idle engines a single request dominates the skew.
	minMeanLoad = 2
)

// sampleSkew records the load skew, the highest load divided by the mean load of
// the engines that respond, until ctx ends.
func (g *generator) sampleSkew(ctx context.Context) {
	for clock.Sleep(ctx, skewInterval) {
		loads := sampleLoads(ctx, g.options.EngineURLs)
		highest, total := 0, 0
		for _, n := range loads {
			highest, total = max(highest, n), total+n
		}
		if total < minMeanLoad*len(loads) || total == 0 {
			continue
		}
		skew := int64(highest * len(loads) * skewScale / total)
		g.mu.Lock()
		_ = g.result.skew.RecordValue(min(skew, maxSkew)) // within the range
		if len(g.result.phases) > 0 {
			_ = g.result.phases[g.currentPhase()].skew.RecordValue(min(skew, maxSkew)) // within the range
		}
		g.mu.Unlock()
	}
}

// sampleLoads reads the stats of all engines concurrently and returns the number
// of running and waiting requests of each that responds.
func sampleLoads(ctx context.Context, urls []string) []int {
	var mu sync.Mutex
	var loads []int
	var group sync.WaitGroup
	for _, url := range urls {
		group.Go(func() {
			status, body, err := get(ctx, url+"/stats")
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
