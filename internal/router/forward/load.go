package forward

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
)

// loadTTLPerUpstream sets how long the summed load of a service is cached: this
// time for each upstream. Adding one upstream takes a thousandth of it.
const loadTTLPerUpstream = 30 * time.Microsecond

// serviceLoadCache sums the loads of services and caches the sums. It is safe
// for concurrent use.
type serviceLoadCache struct {
	directory   *directory.Directory
	gossipState *gossip.State

	mu      sync.Mutex
	entries map[groupKey]serviceEntry
}

// serviceEntry is the cached load of a service, or of a group of its upstreams.
type serviceEntry struct {
	balance.ServiceLoad
	computedAt clock.Instant
}

// groupKey identifies a group of the upstreams of a service by its first one and its
// size.
type groupKey struct {
	service string
	first   uint64
	count   int
}

// maxGroups limits the cached loads. Groups change with the upstreams.
const maxGroups = 256

// get returns the load of a service whose new work goes to a group of its upstreams. For
// a large service it may be slightly stale.
func (l *serviceLoadCache) get(now clock.Instant, name string, group []*directory.Upstream) balance.ServiceLoad {
	key := groupKey{service: name, count: len(group)}
	if len(group) > 0 {
		key.first = group[0].IDHash()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.entries[key]
	if ok && now.Sub(s.computedAt) < time.Duration(s.Active+s.Draining)*loadTTLPerUpstream {
		return s.ServiceLoad
	}
	if len(l.entries) >= maxGroups {
		clear(l.entries)
	}
	active, activeLoad := l.sum(now, group)
	total, totalLoad := l.sum(now, l.directory.All(name))
	s = serviceEntry{balance.ServiceLoad{Active: active, ActiveLoad: activeLoad, Draining: max(0, total-active), DrainingLoad: max(0, totalLoad-activeLoad)}, now}
	l.entries[key] = s
	return s.ServiceLoad
}

func (l *serviceLoadCache) sum(now clock.Instant, upstreams []*directory.Upstream) (count, load int) {
	loads, _ := l.gossipState.Loads(now, upstreamKeys(upstreams))
	for _, n := range loads {
		load += n
	}
	return len(upstreams), load
}

func upstreamKeys(upstreams []*directory.Upstream) []uint64 {
	list := make([]uint64, len(upstreams))
	for i, u := range upstreams {
		list[i] = u.IDHash()
	}
	return list
}
