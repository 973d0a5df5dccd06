package owner

// UpdateFencing continues an ownership under a newer fencing token, for example when
// the claim had to be made again after an outage of the store. Load, queue and
// placements stay; it returns false if the upstream is not owned.
func (t *Table) UpdateFencing(id string, fencing uint64) bool {
	return t.withUpstream(id, func(u *upstream) {
		u.fencing = max(u.fencing, fencing)
	})
}
