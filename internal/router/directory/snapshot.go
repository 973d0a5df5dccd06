package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Entries returns the registrations that Hash covers, sorted by ID, for a peer that
// has none yet. The remaining time of a cold start is as of now; it stays above 0,
// since Hash shows whether there was one.
func (d *Directory) Entries(now clock.Instant) []Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	entries := make([]Entry, 0, len(d.upstreams))
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		u := d.upstreams[id]
		if u.missingSince != 0 {
			continue
		}
		e := u.entry
		if e.ColdRemaining > 0 {
			e.ColdRemaining = max(time.Millisecond, u.coldUntil.Sub(now))
		}
		entries = append(entries, e)
	}
	return entries
}
