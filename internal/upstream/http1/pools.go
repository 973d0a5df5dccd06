package http1

import (
	"sync"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// poolKey identifies one incarnation of an upstream by its id, its start in Unix
// ms and its address.
type poolKey struct {
	id          string
	incarnation int64
	address     string
}

// Pools keeps a pool for each incarnation of an upstream, so that a restarted
// upstream never gets requests on the connections of its predecessor. It is safe
// for concurrent use.
type Pools struct {
	mu    sync.Mutex
	pools map[poolKey]*Pool
	// closedDials is the sum of the dials of the closed pools.
	closedDials int64
}

// NewPools returns an empty set of pools.
func NewPools() *Pools { return &Pools{pools: map[poolKey]*Pool{}} }

// Get returns the pool of an incarnation and creates it if it does not exist.
func (p *Pools) Get(id string, incarnation int64, address string) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{id, incarnation, address}
	if p.pools[key] == nil {
		p.pools[key] = NewPool(address)
	}
	return p.pools[key]
}

// Retain prunes all pools and closes those of upstreams that are not listed.
func (p *Pools) Retain(now clock.Instant, ids []string) {
	listed := map[string]bool{}
	for _, id := range ids {
		listed[id] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pool := range p.pools {
		if listed[key.id] {
			pool.Prune(now)
			continue
		}
		pool.Close()
		p.closedDials += pool.Dials()
		delete(p.pools, key)
	}
}

// Dials returns the number of connection attempts of all pools so far.
func (p *Pools) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := p.closedDials
	for _, pool := range p.pools {
		total += pool.Dials()
	}
	return total
}
