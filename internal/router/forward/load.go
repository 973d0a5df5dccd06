package forward

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// loadTTLPerUpstream bounds the cost of summing up a service: the sum is used
// for this long for each upstream, which takes a thousandth of it to add.
const loadTTLPerUpstream = 30 * time.Microsecond

// serviceLoadCache sums up the loads of services. It is safe for concurrent use.
type serviceLoadCache struct {
	directory *directory.Directory
	board     *digest.Board

	mu      sync.Mutex
	entries map[string]serviceEntry
}

// serviceEntry is the load of a service at an instant.
type serviceEntry struct {
	balance.ServiceLoad
	computedAt clock.Instant
}

// get returns the load of a service, as of a short time ago in a large service.
func (l *serviceLoadCache) get(now clock.Instant, name string) balance.ServiceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.entries[name]
	if ok && now.Sub(s.computedAt) < time.Duration(s.Active+s.Draining)*loadTTLPerUpstream {
		return s.ServiceLoad
	}
	active, openLoad := l.sum(now, l.directory.Receiving(name))
	known, load := l.sum(now, l.directory.Known(name))
	s = serviceEntry{balance.ServiceLoad{Active: active, ActiveLoad: openLoad, Draining: max(0, known-active), DrainingLoad: max(0, load-openLoad)}, now}
	l.entries[name] = s
	return s.ServiceLoad
}

func (l *serviceLoadCache) sum(now clock.Instant, upstreams []*directory.Upstream) (count, load int) {
	loads, _ := l.board.Loads(now, upstreamKeys(upstreams))
	for _, n := range loads {
		load += n
	}
	return len(upstreams), load
}

func upstreamKeys(upstreams []*directory.Upstream) []uint64 {
	list := make([]uint64, len(upstreams))
	for i, u := range upstreams {
		list[i] = u.Key()
	}
	return list
}
