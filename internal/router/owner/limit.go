package owner

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// reserveDivisor is the part of the floor that the reserve may take. The full
// limit must stay above the mean, or a pool could never grow: at the floor a
// factor of 1.5 leaves room for a reserve of about a third of the floor.
const reserveDivisor = 4

// maxReportAge is the age up to which a load report is taken for the present
// load.
const maxReportAge = 5 * time.Second

// reserve returns the part of a bound that is kept for an owner without full
// tenure. It is derived from the floor, which is the lowest bound that any
// owner can arrive at: two owners that see different totals then still keep
// their sum within the bound of the one that sees more. Below a floor of 3
// nothing is left to keep.
func reserve(floor, coldLimit int) int {
	if floor < 3 {
		return 0
	}
	return min(max(floor/reserveDivisor, 1), coldLimit)
}

// unavailableReason returns why the upstream receives no new work at all.
func (u *upstream) unavailableReason(p Policy) rpc.Reason {
	checks := []struct {
		refuse bool
		reason rpc.Reason
	}{
		{u.ownershipEnded, rpc.Reason_REASON_NOT_OWNER},
		{u.listedDraining || u.reportedDraining, rpc.Reason_REASON_LEAVING},
		{p.DomainOut(), rpc.Reason_REASON_DOMAIN_OUT},
		{p.Disabled(), rpc.Reason_REASON_DISABLED},
	}
	for _, c := range checks {
		if c.refuse {
			return c.reason
		}
	}
	return rpc.Reason_REASON_NONE
}

// loadLimit returns the load that the bound allows at this moment, and the
// load that counts against it. Within the reserve that is at least what the
// upstream reported: this router may have lost the upstream to another owner,
// whose grants it does not know.
func (u *upstream) loadLimit(now time.Time, p Policy) (limit, load int) {
	load = len(u.grants)
	if now.Before(u.learnUntil) {
		return 0, load
	}
	reserved := reserve(p.LoadFloor(), p.ColdLimit())
	if now.Before(u.reserveOnlyUntil) || !u.table.lease.FullLimit(now) {
		return reserved, max(load, u.recentReportedLoad(now))
	}
	total, receiving := u.table.poolView.Pool(now, u.host.Pool)
	receiving = max(receiving, int(u.poolLoad.receiving.Load()), 1)
	total = u.poolLoad.correctedTotal(total, u.table.loadAge(now, u.host.Pool))
	return loadBound(p.LoadFactor(), total, receiving, p.LoadFloor()) - reserved, load
}

// recentReportedLoad returns the load in the newest report, 0 if that is too old.
func (u *upstream) recentReportedLoad(now time.Time) int {
	if now.Sub(u.reportedAt) > maxReportAge {
		return 0
	}
	return u.reportedLoad
}

// refusalReason returns REASON_NONE if one more request may be admitted now, or else
// why not.
func (u *upstream) refusalReason(now time.Time, p Policy) rpc.Reason {
	if reason := u.unavailableReason(p); reason != rpc.Reason_REASON_NONE {
		return reason
	}
	if len(u.grants)+1 > min(u.coldStart.limit, p.MaxLoad()) {
		if u.coldStart.limit < p.MaxLoad() {
			return rpc.Reason_REASON_COLD
		}
		return rpc.Reason_REASON_FULL
	}
	if limit, load := u.loadLimit(now, p); load+1 > limit {
		return rpc.Reason_REASON_FULL
	}
	return rpc.Reason_REASON_NONE
}
