package quarantine

import (
	"maps"
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Match is a quarantined set that a request has all parts of.
type Match struct {
	Entry Entry
	// Probe reports whether Check would let the request through as a probe.
	Probe bool
}

// Matches returns the quarantined sets that a request with these parts has. Unlike Check
// it uses up no probe and does not reconsider the evidence.
func (q *Quarantine) Matches(now clock.Instant, parts []Part, mayProbe func(key string) bool) []Match {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []Match
	for _, key := range slices.Sorted(maps.Keys(q.entries)) {
		if e := q.entries[key]; containsAll(parts, e.parts) {
			list = append(list, Match{*e, now >= e.until && now >= e.nextProbe && mayProbe(key)})
		}
	}
	return list
}
