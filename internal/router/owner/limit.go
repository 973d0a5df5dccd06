package owner

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// reserveDivisor sets the size of the reserve: the floor divided by this number.
// The full limit must stay above the mean, or the pool could never grow: at the
// floor, a factor of 1.5 leaves room for a reserve of about a third of the floor.
const reserveDivisor = 4

// maxReportAge is the age up to which a load report counts as the current load.
const maxReportAge = 5 * time.Second

// reserve returns the part of a bound that is kept for an owner whose lease is
// not confirmed. It is derived from the floor, which is the lowest bound that
// any owner can compute: even if two owners see different totals, the sum of
// their loads stays within the bound of the one that sees more. A floor below 3
// leaves no room for a reserve.
func reserve(floor, coldLimit int) int {
	if floor < 3 {
		return 0
	}
	return min(max(floor/reserveDivisor, 1), coldLimit)
}

// unavailableReason returns why the upstream accepts no new work at all, or
// REASON_NONE.
func (u *upstream) unavailableReason(p Policy) rpc.Reason {
	checks := []struct {
		refuse bool
		reason rpc.Reason
	}{
		{u.ownershipEnded, rpc.Reason_REASON_NOT_OWNER},
		{u.listedDraining || u.reportedDraining, rpc.Reason_REASON_LEAVING},
		{p.DomainEvacuated(), rpc.Reason_REASON_DOMAIN_OUT},
		{p.Disabled(), rpc.Reason_REASON_DISABLED},
	}
	for _, c := range checks {
		if c.refuse {
			return c.reason
		}
	}
	return rpc.Reason_REASON_NONE
}

// loadLimit returns the load that the bound currently allows and the load that
// counts against it. Within the reserve the latter is at least the load that
// the upstream reported: another owner, whose grants this router does not know,
// may have taken over.
func (u *upstream) loadLimit(now time.Time, p Policy) (limit, load int) {
	load = len(u.grants)
	if now.Before(u.learnUntil) {
		return 0, load
	}
	reserved := reserve(p.LoadFloor(), p.ColdLimit())
	if now.Before(u.reserveOnlyUntil) || !u.table.lease.FullLimitAllowed(now) {
		return reserved, max(load, u.recentReportedLoad(now))
	}
	total, receiving := u.table.poolView.PoolLoad(now, u.info.Pool)
	receiving = max(receiving, int(u.poolLoad.receiving.Load()), 1)
	total = u.poolLoad.correctedTotal(total, u.table.loadAge(now, u.info.Pool))
	return loadBound(p.LoadFactor(), total, receiving, p.LoadFloor()) - reserved, load
}

// recentReportedLoad returns the load in the newest report, or 0 if that is too
// old.
func (u *upstream) recentReportedLoad(now time.Time) int {
	if now.Sub(u.reportedAt) > maxReportAge {
		return 0
	}
	return u.reportedLoad
}

// refusalReason returns why no further request may be admitted now, or
// REASON_NONE if one may.
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
