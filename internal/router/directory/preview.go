package directory

// NotReceiving returns the upstreams of a service that receive no new work, and why:
// draining, leaving (announced in a response) or evacuated.
func (d *Directory) NotReceiving(service string) (upstreams []*Upstream, reasons []string) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, u := range d.byService[service] {
		if d.receives(u) {
			continue
		}
		reason := "evacuated"
		if _, leaving := d.leaving[u.ID()]; leaving {
			reason = "leaving"
		}
		if u.entry.Draining {
			reason = "draining"
		}
		upstreams, reasons = append(upstreams, u), append(reasons, reason)
	}
	return upstreams, reasons
}
