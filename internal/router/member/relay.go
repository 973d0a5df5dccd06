package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// appendOwn appends the rows of this router.
func (l *loads) appendOwn(now time.Time, digests []*rpc.Digest) []*rpc.Digest {
	for _, pool := range l.ownPools {
		s := l.pools[pool].sources[l.self.ID]
		digests = append(digests, l.newDigest(now, "", pool, s.samples[len(s.samples)-1]))
	}
	return digests
}

// newDigest returns a digest with the pool's region left out.
func (l *loads) newDigest(now time.Time, router, pool string, s sample) *rpc.Digest {
	return &rpc.Digest{
		Router:    router,
		Pool:      strings.TrimPrefix(pool, l.self.Region),
		Load:      uint32(s.load),
		Receiving: uint32(s.receiving),
		AgeMs:     milliseconds(now.Sub(s.at)),
	}
}

// responseDigests returns the rows for a router of the given domain and region:
// own rows and some that are passed on within the domain, or everywhere with
// few routers; sums of the own domain for another domain of the region; none
// for another region, which has other pools.
func (l *loads) responseDigests(now time.Time, domain, region string, large bool) []*rpc.Digest {
	if region != l.self.Region {
		return nil
	}
	if large && domain != l.self.FailureDomain {
		return l.domainSums(now)
	}
	digests := l.appendOwn(now, nil)
	digests = l.appendRelayed(now, digests, l.relayKeys, &l.nextRelay, relayedDigests)
	if large {
		digests = l.appendRelayed(now, digests, l.sumKeys, &l.nextSum, relayedSums)
	}
	return digests
}

// domainSums returns one row for each pool with the sum of the own domain, as
// of the last tick.
func (l *loads) domainSums(now time.Time) []*rpc.Digest {
	var digests []*rpc.Digest
	for _, pool := range l.poolNames {
		p := l.pools[pool]
		if p.ownDomain.figures > 0 && now.Sub(p.ownDomainAt) <= digestMaxAge {
			s := sample{at: p.ownDomainAt.Add(-p.ownDomain.age()), load: p.ownDomain.load, receiving: p.ownDomain.receiving}
			digests = append(digests, l.newDigest(now, sumPrefix+l.self.FailureDomain, pool, s))
		}
	}
	return digests
}

// appendRelayed appends up to limit rows in turn.
func (l *loads) appendRelayed(now time.Time, digests []*rpc.Digest, keys []digestKey, next *int, limit int) []*rpc.Digest {
	for range min(limit, len(keys)) {
		k := keys[*next%len(keys)]
		*next++
		s := l.pools[k.pool].sources[k.source]
		if s == nil {
			continue // forgotten since the order was made
		}
		if newest := s.samples[len(s.samples)-1]; now.Sub(newest.at) <= digestMaxAge {
			digests = append(digests, l.newDigest(now, k.source, k.pool, newest))
		}
	}
	return digests
}

// rebuildKeys rebuilds the order in which rows and sums are passed on.
func (l *loads) rebuildKeys(large bool, routerDomain func(string) (string, bool)) {
	if !l.keysStale {
		return
	}
	l.keysStale = false
	l.relayKeys, l.sumKeys = nil, nil
	for _, pool := range l.poolNames {
		for name := range l.pools[pool].sources {
			domain, known := routerDomain(name)
			switch {
			case name == l.self.ID:
			case strings.HasPrefix(name, sumPrefix):
				l.sumKeys = append(l.sumKeys, digestKey{pool, name})
			case known && (!large || domain == l.self.FailureDomain):
				l.relayKeys = append(l.relayKeys, digestKey{pool, name})
			}
		}
	}
	order := func(a, b digestKey) int {
		return cmp.Or(cmp.Compare(a.source, b.source), cmp.Compare(a.pool, b.pool))
	}
	slices.SortFunc(l.relayKeys, order)
	slices.SortFunc(l.sumKeys, order)
}
