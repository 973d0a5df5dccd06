package owner

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// exportState returns the state for the next owner. A limit of 0 means that
// this owner may not know all running requests, because it was still learning
// of them or its lease was not confirmed; the next owner then starts with a
// learning phase.
func (u *upstream) exportState(now time.Time) *rpc.HandoverRequest {
	u.expireGrants(now)
	limit := u.coldStart.limit
	if now.Before(u.reserveOnlyUntil) || !u.table.lease.FullLimitAllowed(now) {
		limit = 0
	}
	state := &rpc.HandoverRequest{
		Router:   u.table.routerID,
		Upstream: u.info.ID,
		Fencing:  u.fencing,
		Limit:    uint32(limit),
		Warm:     !u.coldStart.reportedCold,
		Boot:     u.coldStart.bootID,
		Leaving:  u.reportedDraining,
	}
	for k, g := range u.grants {
		state.Grants = append(state.Grants, &rpc.Grant{
			Upstream: u.info.ID, Id: k.id, Fencing: k.fencing, Workspace: g.workspace, Class: g.class,
		})
	}
	if len(u.placements.index) == 0 {
		return state
	}
	// Oldest first, so that the next owner evicts in the same order.
	for i := u.placements.oldest; i != noRow; i = u.placements.rows[i].newer {
		r := u.placements.rows[i]
		state.Chats = append(state.Chats, &rpc.ChatRow{Chat: r.chat, Upstream: r.upstream.Value()})
	}
	return state
}

// restoreState continues from the state of the previous owner.
func (u *upstream) restoreState(now time.Time, p Policy, h *rpc.HandoverRequest) {
	u.coldStart.limit = min(max(int(h.GetLimit()), p.ColdLimit()), p.MaxLoad())
	u.coldStart.reportedCold = !h.GetWarm()
	u.coldStart.bootID = h.GetBoot()
	u.reportedDraining = h.GetLeaving()
	for _, g := range h.GetGrants() {
		u.renewGrant(now, g)
	}
	for _, r := range h.GetChats() {
		u.placements.set(now, r.GetChat(), u.placementTarget(r.GetUpstream()))
	}
}
