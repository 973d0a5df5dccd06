package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// appendOwn appends the digests of this router.
func (l *loads) appendOwn(now time.Time, digests []*rpc.Digest) []*rpc.Digest {
	for _, pool := range l.ownPools {
		s := l.pools[pool].sources[l.self.ID]
		digests = append(digests, l.newDigest(now, "", pool, s.samples[len(s.samples)-1]))
	}
	return digests
}

// newDigest returns a digest. Its pool name omits the region.
func (l *loads) newDigest(now time.Time, router, pool string, s sample) *rpc.Digest {
	return &rpc.Digest{
		Router:    router,
		Pool:      strings.TrimPrefix(pool, l.self.Region),
		Load:      uint32(s.load),
		Receiving: uint32(s.receiving),
		AgeMs:     milliseconds(now.Sub(s.at)),
	}
}

// responseDigests returns the digests for a router in the given domain and region.
// In a small fleet, and within the domain, these are the router's own and some
// relayed ones. In a large fleet, other domains of the region receive the sums of
// this domain. Other regions receive none, since they have different pools.
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

// domainSums returns the sum of this router's domain for each pool, as of the
// last tick.
func (l *loads) domainSums(now time.Time) []*rpc.Digest {
	var digests []*rpc.Digest
	for _, pool := range l.poolNames {
		p := l.pools[pool]
		if p.ownDomain.samples > 0 && now.Sub(p.ownDomainAt) <= digestMaxAge {
			s := sample{at: p.ownDomainAt.Add(-p.ownDomain.age()), load: p.ownDomain.load, receiving: p.ownDomain.receiving}
			digests = append(digests, l.newDigest(now, sumPrefix+l.self.FailureDomain, pool, s))
		}
	}
	return digests
}

// appendRelayed appends up to limit digests in rotation.
func (l *loads) appendRelayed(now time.Time, digests []*rpc.Digest, keys []digestKey, next *int, limit int) []*rpc.Digest {
	for range min(limit, len(keys)) {
		k := keys[*next%len(keys)]
		*next++
		s := l.pools[k.pool].sources[k.source]
		if s == nil {
			continue // removed since the keys were built
		}
		if newest := s.samples[len(s.samples)-1]; now.Sub(newest.at) <= digestMaxAge {
			digests = append(digests, l.newDigest(now, k.source, k.pool, newest))
		}
	}
	return digests
}

// rebuildKeys rebuilds the order in which digests and domain sums are relayed.
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
