package claim

import "time"

// sweepInterval is the time between two sweeps of the markers. A marker is
// deleted if its upstream is missing from the host list in two consecutive
// sweeps and was not claimed between them. By then the last owner has no running
// requests, and a list that omits the upstream by mistake has been noticed.
const sweepInterval = time.Hour

// sweep deletes the markers of upstreams that were removed permanently.
// Otherwise they would accumulate: 260 hosts a day are replaced at design size.
type sweep struct {
	responsible bool // this router sweeps for its region
	nextAt      time.Time
	missing     map[string]int64 // revisions of markers without a listed upstream
	removals    []call
}

// nextSweepCall returns the list of all markers or the deletion of one marker,
// if one is due.
func (c *Claims) nextSweepCall(now time.Time) (call, bool) {
	m := &c.markerSweep
	_, listed := c.peers.ListedSince(now)
	switch {
	case !m.responsible || !listed || c.draining || m.nextAt.IsZero():
		*m = sweep{responsible: m.responsible, nextAt: now.Add(sweepInterval)}
	case !now.Before(m.nextAt):
		m.nextAt = now.Add(sweepInterval)
		return call{op: opListMarkers}, true
	case len(m.removals) > 0 && c.claimAllowed(now):
		c.claimBudget.spend()
		q := m.removals[0]
		m.removals = m.removals[1:]
		return q, true
	}
	return call{}, false
}

// handleMarkerList records the markers whose upstreams are missing and selects
// those to delete.
func (c *Claims) handleMarkerList(r result) {
	if r.err != nil {
		return
	}
	missing := map[string]int64{}
	c.markerSweep.removals = nil
	for _, kv := range r.list {
		id := kv.Key[len(MarkerPrefix):]
		if c.upstreams[id] != nil {
			continue
		}
		missing[id] = kv.ModRevision
		if c.markerSweep.missing[id] == kv.ModRevision {
			c.markerSweep.removals = append(c.markerSweep.removals, call{op: opDeleteMarker, upstream: id, revision: kv.ModRevision})
		}
	}
	c.markerSweep.missing = missing
}
