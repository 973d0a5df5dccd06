package loadgen

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// readinessInterval is the time between readiness checks of a router.
	readinessInterval = 200 * time.Millisecond
	readinessTimeout  = 500 * time.Millisecond
)

// balancer checks the readiness of routers and excludes those that are not
// ready, as the platform's load balancer does.
type balancer struct {
	routers       []string
	readinessURLs []string
	unready       []atomic.Bool
}

func newBalancer(routers, readinessURLs []string) *balancer {
	return &balancer{routers: routers, readinessURLs: readinessURLs, unready: make([]atomic.Bool, len(routers))}
}

// startChecks starts the readiness checks. The returned function stops them and
// waits for their end.
func (b *balancer) startChecks(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var checks sync.WaitGroup
	client := &http.Client{Timeout: readinessTimeout}
	for i, url := range b.readinessURLs {
		checks.Go(func() {
			for clock.Sleep(ctx, readinessInterval) {
				b.unready[i].Store(!isReady(ctx, client, url))
			}
		})
	}
	return func() {
		cancel()
		checks.Wait()
	}
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// readyRouters returns the addresses of the routers that are ready, or of all if
// none is.
func (b *balancer) readyRouters() []string {
	var ready []string
	for i, address := range b.routers {
		if !b.unready[i].Load() {
			ready = append(ready, address)
		}
	}
	if len(ready) == 0 {
		return b.routers
	}
	return ready
}
