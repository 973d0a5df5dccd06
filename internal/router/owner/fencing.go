package owner

// UpdateFencing continues an ownership under a newer fencing token, for example
// when the claim was made again after a store outage. Load, queue and
// placements stay. It returns false if the upstream is not owned.
func (t *Table) UpdateFencing(id string, fencing uint64) bool {
	return t.withUpstream(id, func(u *upstream) {
		u.fencing = max(u.fencing, fencing)
	})
}
