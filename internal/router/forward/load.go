package forward

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// refreshPerUpstream bounds the cost of summing up a service: the sum is used
// for this long for each upstream, which takes a thousandth of it to add.
const refreshPerUpstream = 30 * time.Microsecond

// serviceLoads sums up the loads of services. It is safe for concurrent use.
type serviceLoads struct {
	directory *directory.Directory
	board     *digest.Gossip

	mu   sync.Mutex
	sums map[string]serviceSum
}

// serviceSum is the load of a service at an instant.
type serviceSum struct {
	balance.Service
	at clock.Instant
}

// of returns the load of a service, as of a short time ago in a large service.
func (l *serviceLoads) of(now clock.Instant, name string) balance.Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.sums[name]
	if ok && now.Sub(s.at) < time.Duration(s.Open+s.Closed)*refreshPerUpstream {
		return s.Service
	}
	open, openLoad := l.sum(now, l.directory.Receiving(name))
	known, load := l.sum(now, l.directory.Known(name))
	s = serviceSum{balance.Service{Open: open, OpenLoad: openLoad, Closed: max(0, known-open), ClosedLoad: max(0, load-openLoad)}, now}
	l.sums[name] = s
	return s.Service
}

func (l *serviceLoads) sum(now clock.Instant, upstreams []*directory.Upstream) (count, load int) {
	loads, _ := l.board.Loads(now, keys(upstreams))
	for _, n := range loads {
		load += n
	}
	return len(upstreams), load
}

func keys(upstreams []*directory.Upstream) []uint64 {
	list := make([]uint64, len(upstreams))
	for i, u := range upstreams {
		list[i] = u.IDHash()
	}
	return list
}
