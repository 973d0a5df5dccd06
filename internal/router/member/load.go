package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// lowestLoadWindow is the time over which the lowest total is used, and the age up
	// to which a digest counts as it is.
	lowestLoadWindow = 3 * time.Second
	// digestMaxAge is the age from which a digest no longer counts.
	digestMaxAge = 15 * time.Second
	// relayedDigests and relayedSums limit the rows of other routers and the sums of
	// other failure domains in one answer; all of them pass in turn.
	relayedDigests = 1
	relayedSums    = 3
	// Without the store a router of a domain of n others gets rows once in n times
	// outageDigestInterval, and another domain gets sums once in outageSumInterval, since
	// the exchanges are many then.
	outageDigestInterval = 100 * time.Millisecond
	outageSumInterval    = time.Second
	// sumPrefix starts the router name of a digest that is the sum of a domain.
	sumPrefix = "*"
)

// sample is one figure of one source.
type sample struct {
	at              time.Time
	load, receiving int
}

// source holds the samples of one router or domain sum, newest last.
type source struct {
	samples []sample
}

// add takes in a sample if it is newer than those held.
func (s *source) add(n sample) {
	if len(s.samples) > 0 && !n.at.After(s.samples[len(s.samples)-1].at) {
		return
	}
	s.samples = append(s.samples, n)
	s.trim(n.at)
}

// trim drops samples older than digestMaxAge, but for the newest.
func (s *source) trim(now time.Time) {
	keep := 0
	for keep < len(s.samples)-1 && now.Sub(s.samples[keep].at) > digestMaxAge {
		keep++
	}
	s.samples = slices.Delete(s.samples, 0, keep)
}

// effective returns the figure that counts now, false if there is none. The load of
// an old figure counts as 0: the router may have stopped, and its engines drain
// while a total that still contains their load permits too much elsewhere. Its
// engines count on, which lowers the mean. Among many routers figures older
// than lowestLoadWindow are usual, and the lowest recent value counts there.
func (s *source) effective(now time.Time, large bool) (sample, bool) {
	if len(s.samples) == 0 {
		return sample{}, false
	}
	newest := s.samples[len(s.samples)-1]
	age := now.Sub(newest.at)
	if age > digestMaxAge {
		return sample{}, false
	}
	if age > lowestLoadWindow && !large {
		newest.load = 0
	}
	if age > lowestLoadWindow && large {
		for _, o := range s.samples {
			if now.Sub(o.at) <= digestMaxAge {
				newest.load = min(newest.load, o.load)
			}
		}
	}
	return newest, true
}

// poolTotal is a total of a pool at one time.
type poolTotal struct {
	at              time.Time
	load, receiving int
	age             time.Duration // mean, weighted by load
}

// poolLoad holds the sources and recent totals of one pool.
type poolLoad struct {
	name    string
	sources map[string]*source
	history []poolTotal
	// ownDomain is the sum of the own failure domain as of ownDomainAt.
	ownDomain   tally
	ownDomainAt time.Time
}

// origin tells who sent a set of digests. First is set for a request, whose
// delay is unknown: of it only the sender's own rows count.
type origin struct {
	router, region, failureDomain string
	isRequest                     bool
}

// loads holds the digests of the region's pools.
type loads struct {
	self      Self
	pools     map[string]*poolLoad
	poolNames []string // names of pools, sorted
	ownPools  []string // pools with rows of this router, sorted
	nextRelay int
	nextSum   int
	relayKeys []digestKey // cache for the rotation of rows
	sumKeys   []digestKey
	keysStale bool
}

type digestKey struct{ pool, source string }

func newLoads(self Self) loads { return loads{self: self, pools: map[string]*poolLoad{}} }

// source returns the source of a pool and makes it if needed.
func (l *loads) source(pool, name string) *source {
	p := l.pools[pool]
	if p == nil {
		p = &poolLoad{name: pool, sources: map[string]*source{}}
		l.pools[pool] = p
		l.poolNames = append(l.poolNames, pool)
		slices.Sort(l.poolNames)
	}
	s := p.sources[name]
	if s == nil {
		s = &source{}
		p.sources[name] = s
		l.keysStale = true
	}
	return s
}

// add takes in digests whose ages count back from base.
func (l *loads) add(base time.Time, digests []*rpc.Digest, from origin) {
	if from.region != l.self.Region {
		return
	}
	for _, d := range digests {
		name := cmp.Or(d.Router, from.router)
		pool := d.Pool
		if strings.HasPrefix(pool, "/") {
			pool = from.region + pool
		}
		if from.isRequest && name != from.router || name == l.self.ID ||
			name == sumPrefix+l.self.FailureDomain || !strings.HasPrefix(pool, l.self.Region+"/") {
			continue
		}
		at := base.Add(-time.Duration(d.AgeMs) * time.Millisecond)
		l.source(pool, name).add(sample{at: at, load: int(d.Load), receiving: int(d.Receiving)})
	}
}

// SetDigests takes in the loads of the upstreams that this router owns. Rows of
// pools where it no longer owns any are sent as 0 until they are forgotten
// everywhere.
func (m *Members) SetDigests(now time.Time, own []*rpc.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &m.loads
	present := map[string]bool{}
	for _, d := range own {
		present[d.Pool] = true
		l.source(d.Pool, l.self.ID).add(sample{at: now, load: int(d.Load), receiving: int(d.Receiving)})
	}
	l.ownPools = l.ownPools[:0]
	for _, name := range l.poolNames {
		s := l.pools[name].sources[l.self.ID]
		if s == nil {
			continue
		}
		if !present[name] {
			if !s.recentlyActive(now) {
				continue
			}
			s.add(sample{at: now})
		}
		l.ownPools = append(l.ownPools, name)
	}
	l.recordTotals(now, m.largeFleet(), m.routerDomain)
}

// recentlyActive reports whether a sample of the last digestMaxAge has any upstream.
func (s *source) recentlyActive(now time.Time) bool {
	return slices.ContainsFunc(s.samples, func(o sample) bool {
		return now.Sub(o.at) <= digestMaxAge && (o.load > 0 || o.receiving > 0)
	})
}

// recordTotals notes the totals of all pools, forgets old sources and renews the order
// in which rows are passed on.
func (l *loads) recordTotals(now time.Time, large bool, routerDomain func(string) (string, bool)) {
	defer l.rebuildKeys(large, routerDomain)
	for _, name := range l.poolNames {
		p := l.pools[name]
		for id, s := range p.sources {
			s.trim(now)
			if now.Sub(s.samples[len(s.samples)-1].at) > digestMaxAge {
				delete(p.sources, id)
				l.keysStale = true
			}
		}
		total := p.total(now, l.self, large, routerDomain)
		p.history = append(p.history, poolTotal{
			at: now, load: total.load, receiving: total.receiving,
			age: total.loadAges / time.Duration(max(total.load, 1)),
		})
		for len(p.history) > 1 && now.Sub(p.history[0].at) > lowestLoadWindow {
			p.history = slices.Delete(p.history, 0, 1)
		}
	}
}

// Pool returns the lowest total load of the last 3 s and the number of
// upstreams that receive work in a pool, this router's own included.
func (m *Members) Pool(now time.Time, pool string) (total, receiving int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.loads.pools[pool]
	if p == nil {
		return 0, 0
	}
	if n := len(p.history); n > 0 && now.Sub(p.history[n-1].at) <= 2*ExchangeInterval {
		total, receiving = p.history[n-1].load, p.history[n-1].receiving
	} else {
		t := p.total(now, m.self, m.largeFleet(), m.routerDomain)
		total, receiving = t.load, t.receiving
	}
	for _, h := range p.history {
		if now.Sub(h.at) <= lowestLoadWindow {
			total = min(total, h.load)
		}
	}
	return total, receiving
}

// Age returns the mean age of the load in the newest total of a pool, weighted
// by load.
func (m *Members) Age(now time.Time, pool string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.loads.pools[pool]
	if p == nil || len(p.history) == 0 {
		return 0
	}
	newest := p.history[len(p.history)-1]
	return newest.age + now.Sub(newest.at)
}

// tally adds up figures of one failure domain.
type tally struct {
	domain          string
	load, receiving int
	figures         int
	ages            time.Duration
	loadAges        time.Duration // weighted by load
}

func (t *tally) add(now time.Time, s sample) {
	t.load += s.load
	t.receiving += s.receiving
	t.figures++
	t.ages += now.Sub(s.at)
	t.loadAges += time.Duration(s.load) * now.Sub(s.at)
}

// age returns the mean age of the figures.
func (t *tally) age() time.Duration {
	if t.figures == 0 {
		return 0
	}
	return t.ages / time.Duration(t.figures)
}

// domainTallies is a short list of tallies by domain.
type domainTallies []tally

func (d *domainTallies) forDomain(domain string) *tally {
	for i := range *d {
		if (*d)[i].domain == domain {
			return &(*d)[i]
		}
	}
	*d = append(*d, tally{domain: domain})
	return &(*d)[len(*d)-1]
}

// tallyByDomain returns the rows and the sums of a pool by failure domain.
func (p *poolLoad) tallyByDomain(now time.Time, large bool, routerDomain func(string) (string, bool)) (routers, sums domainTallies) {
	for name, s := range p.sources {
		c, ok := s.effective(now, large)
		if !ok {
			continue
		}
		if domain, sum := strings.CutPrefix(name, sumPrefix); sum {
			sums.forDomain(domain).add(now, c)
		} else if domain, known := routerDomain(name); known {
			routers.forDomain(domain).add(now, c)
		}
	}
	return routers, sums
}

// total adds up the domains of a pool. With many routers the sum of another
// domain goes before the rows of its routers, which are then few and old; with
// few routers the rows do. Routers with different lists may send both.
func (p *poolLoad) total(now time.Time, self Self, large bool, routerDomain func(string) (string, bool)) tally {
	first, second := p.tallyByDomain(now, large, routerDomain)
	total := *first.forDomain(self.FailureDomain)
	p.ownDomain, p.ownDomainAt = total, now
	if large {
		first, second = second, first
	}
	for _, t := range first {
		if t.domain != self.FailureDomain {
			total.load += t.load
			total.receiving += t.receiving
			total.loadAges += t.loadAges
		}
	}
	for _, t := range second {
		if t.domain != self.FailureDomain && first.forDomain(t.domain).figures == 0 {
			total.load += t.load
			total.receiving += t.receiving
			total.loadAges += t.loadAges
		}
	}
	return total
}
