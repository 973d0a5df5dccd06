package forward

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

const (
	// staleForOnce is the longest idle time of a connection that carries a
	// request which may run once only. If the upstream closed it meanwhile, the
	// outcome would be unknown.
	staleForOnce = 3 * time.Second
	// staleForRepeatable bounds the idle time for requests that are simply sent
	// again.
	staleForRepeatable = time.Minute
)

// freshness returns the longest idle time of a connection that may carry a
// request of the route.
func freshness(r *route.Route) time.Duration {
	if r.MayRepeat() {
		return staleForRepeatable
	}
	return staleForOnce
}
