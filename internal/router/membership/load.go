package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// lowestLoadWindow is the time over which the lowest total and the highest number
	// of receiving upstreams are used, and the age up to which a digest counts unchanged.
	lowestLoadWindow = 3 * time.Second
	// digestMaxAge is the age after which a digest is ignored.
	digestMaxAge = 15 * time.Second
	// relayedDigests and relayedSums limit the relayed digests of other routers and
	// of other failure domains in one response. All are relayed in rotation.
	relayedDigests = 1
	relayedSums    = 3
	// While the store is unreachable and exchanges are frequent, a router in this
	// domain is sent digests every outageDigestInterval times the number of other
	// routers in the domain. Other domains are sent sums every outageSumInterval.
	outageDigestInterval = 100 * time.Millisecond
	outageSumInterval    = time.Second
	// sumPrefix starts the router name of a digest that is a domain sum.
	sumPrefix = "*"
)

// sample is the load of one source at a time.
type sample struct {
	at              time.Time
	load, receiving int
}

// source holds the samples of one router or domain sum, newest last.
type source struct {
	samples []sample
}

// add appends a sample if it is newer than the present ones.
func (s *source) add(n sample) {
	if len(s.samples) > 0 && !n.at.After(s.samples[len(s.samples)-1].at) {
		return
	}
	s.samples = append(s.samples, n)
	s.trim(n.at)
}

// trim drops samples older than digestMaxAge, except the newest.
func (s *source) trim(now time.Time) {
	keep := 0
	for keep < len(s.samples)-1 && now.Sub(s.samples[keep].at) > digestMaxAge {
		keep++
	}
	s.samples = slices.Delete(s.samples, 0, keep)
}

// effective returns the sample to use for the current total, false if there is
// none. In a small fleet an old load counts as 0: the router may have stopped
// while its engines drain, and a total that still contains their load would
// permit too much elsewhere. Its engines still count, which lowers the mean. In
// a large fleet samples older than lowestLoadWindow are normal, and the lowest
// load within digestMaxAge is used for them.
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

// poolTotal is the total load of a pool at a time.
type poolTotal struct {
	at              time.Time
	load, receiving int
	age             time.Duration // mean, weighted by load
}

// poolLoad holds the sources and recent totals of one pool.
type poolLoad struct {
	name    string
	sources map[string]*source
	totals  []poolTotal
	// ownDomain is the sum of this router's failure domain at ownDomainAt.
	ownDomain   tally
	ownDomainAt time.Time
}

// origin identifies the sender of digests. isRequest is set for requests, whose
// delay is unknown: only the sender's own digests are used from them.
type origin struct {
	router, region, failureDomain string
	isRequest                     bool
}

// loads holds the digests of the region's pools.
type loads struct {
	self      Self
	pools     map[string]*poolLoad
	poolNames []string // sorted
	ownPools  []string // names of pools with digests of this router, sorted
	nextRelay int
	nextSum   int
	relayKeys []digestKey // relayed digests in the order of their rotation
	sumKeys   []digestKey
	keysStale bool
}

type digestKey struct{ pool, source string }

func newLoads(self Self) loads { return loads{self: self, pools: map[string]*poolLoad{}} }

// source returns a source of a pool and creates it if needed.
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

// add records digests whose ages are relative to base.
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

// SetDigests sets the loads of the upstreams that this router owns. Digests of
// pools in which it no longer owns any are sent as 0 until all routers have
// dropped the earlier ones.
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

// recentlyActive reports whether a sample within digestMaxAge has a load or a
// receiving upstream.
func (s *source) recentlyActive(now time.Time) bool {
	return slices.ContainsFunc(s.samples, func(o sample) bool {
		return now.Sub(o.at) <= digestMaxAge && (o.load > 0 || o.receiving > 0)
	})
}

// recordTotals records the totals of all pools, removes expired sources and
// updates the order in which digests are relayed.
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
		p.totals = append(p.totals, poolTotal{
			at: now, load: total.load, receiving: total.receiving,
			age: total.weightedAgeSum / time.Duration(max(total.load, 1)),
		})
		for len(p.totals) > 1 && now.Sub(p.totals[0].at) > lowestLoadWindow {
			p.totals = slices.Delete(p.totals, 0, 1)
		}
	}
}

// PoolLoad returns the lowest total load of a pool and the highest number of its
// upstreams that receive work within the last 3 s, including those of this router.
// During a handover the digests of both owners may lack an upstream; a number that
// lacks most of them would let an owner admit any load.
func (m *Members) PoolLoad(now time.Time, pool string) (total, receiving int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.loads.pools[pool]
	if p == nil {
		return 0, 0
	}
	if n := len(p.totals); n > 0 && now.Sub(p.totals[n-1].at) <= 2*ExchangeInterval {
		total, receiving = p.totals[n-1].load, p.totals[n-1].receiving
	} else {
		t := p.total(now, m.self, m.largeFleet(), m.routerDomain)
		total, receiving = t.load, t.receiving
	}
	for _, h := range p.totals {
		if now.Sub(h.at) <= lowestLoadWindow {
			total, receiving = min(total, h.load), max(receiving, h.receiving)
		}
	}
	return total, receiving
}

// LoadAge returns the mean age, weighted by load, of the samples in the newest
// total of a pool.
func (m *Members) LoadAge(now time.Time, pool string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.loads.pools[pool]
	if p == nil || len(p.totals) == 0 {
		return 0
	}
	newest := p.totals[len(p.totals)-1]
	return newest.age + now.Sub(newest.at)
}

// tally adds up the samples of one failure domain.
type tally struct {
	domain          string
	load, receiving int
	samples         int
	ageSum          time.Duration
	weightedAgeSum  time.Duration // weighted by load
}

func (t *tally) add(now time.Time, s sample) {
	t.load += s.load
	t.receiving += s.receiving
	t.samples++
	t.ageSum += now.Sub(s.at)
	t.weightedAgeSum += time.Duration(s.load) * now.Sub(s.at)
}

// age returns the mean age of the samples.
func (t *tally) age() time.Duration {
	if t.samples == 0 {
		return 0
	}
	return t.ageSum / time.Duration(t.samples)
}

// domainTallies is a short list of tallies, one per failure domain.
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

// tallyByDomain adds up the routers' samples and the domain sums of a pool by
// failure domain.
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

// total adds up the failure domains of a pool. In a large fleet the sum of another
// domain takes precedence over the samples of its routers, which are few and old;
// in a small fleet the samples do. Both can be present, since routers with
// different host lists may disagree about the fleet's size.
func (p *poolLoad) total(now time.Time, self Self, large bool, routerDomain func(string) (string, bool)) tally {
	preferred, fallback := p.tallyByDomain(now, large, routerDomain)
	total := *preferred.forDomain(self.FailureDomain)
	p.ownDomain, p.ownDomainAt = total, now
	if large {
		preferred, fallback = fallback, preferred
	}
	for _, t := range preferred {
		if t.domain != self.FailureDomain {
			total.load += t.load
			total.receiving += t.receiving
			total.weightedAgeSum += t.weightedAgeSum
		}
	}
	for _, t := range fallback {
		if t.domain != self.FailureDomain && preferred.forDomain(t.domain).samples == 0 {
			total.load += t.load
			total.receiving += t.receiving
			total.weightedAgeSum += t.weightedAgeSum
		}
	}
	return total
}
