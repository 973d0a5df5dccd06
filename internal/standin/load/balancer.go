package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// readyInterval is the time between two readiness checks of a router.
	readyInterval = 200 * time.Millisecond
	readyTimeout  = 500 * time.Millisecond
)

// balancer leaves out routers that are not ready, as the platform's load
// balancer does.
type balancer struct {
	routers []string
	urls    []string
	unready []atomic.Bool
}

func newBalancer(routers, urls []string) *balancer {
	return &balancer{routers: routers, urls: urls, unready: make([]atomic.Bool, len(routers))}
}

// watch checks readiness until the function that it returns is called.
func (b *balancer) watch(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var checks sync.WaitGroup
	client := &http.Client{Timeout: readyTimeout}
	for i, url := range b.urls {
		checks.Go(func() {
			for clock.Sleep(ctx, readyInterval) {
				b.unready[i].Store(!ready(ctx, client, url))
			}
		})
	}
	return func() {
		cancel()
		checks.Wait()
	}
}

func ready(ctx context.Context, client *http.Client, url string) bool {
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

// addresses returns the routers that are ready, or all if none is.
func (b *balancer) addresses() []string {
	var list []string
	for i, address := range b.routers {
		if !b.unready[i].Load() {
			list = append(list, address)
		}
	}
	if len(list) == 0 {
		return b.routers
	}
	return list
}
