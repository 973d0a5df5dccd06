package owner

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// export returns the state for the next owner. A limit of 0 says that this
// owner may not know all running work, because it was still learning of it or
// was not sure of its lease; the next owner then learns for itself.
func (u *upstream) export(now time.Time) *rpc.HandoverRequest {
	u.expire(now)
	limit := u.warm.limit
	if now.Before(u.reserveUntil) || !u.table.tenure.FullLimit(now) {
		limit = 0
	}
	state := &rpc.HandoverRequest{
		Router:   u.table.self,
		Upstream: u.host.ID,
		Fencing:  u.fencing,
		Limit:    uint32(limit),
		Warm:     !u.warm.reportedCold,
		Boot:     u.warm.boot,
		Leaving:  u.reportedLeaving,
	}
	for k, g := range u.grants {
		state.Grants = append(state.Grants, &rpc.Grant{
			Upstream: u.host.ID, Id: k.id, Fencing: k.fencing, Workspace: g.workspace, Class: g.class,
		})
	}
	if len(u.chats.index) == 0 {
		return state
	}
	// Oldest first, so that the next owner evicts in the same order.
	for i := u.chats.oldest; i != none; i = u.chats.rows[i].newer {
		r := u.chats.rows[i]
		state.Chats = append(state.Chats, &rpc.ChatRow{Chat: r.chat, Upstream: r.upstream.Value()})
	}
	return state
}

// restore continues from the state of an earlier owner.
func (u *upstream) restore(now time.Time, p Policy, h *rpc.HandoverRequest) {
	u.warm.limit = min(max(int(h.GetLimit()), p.ColdLimit()), p.MaxLoad())
	u.warm.reportedCold = !h.GetWarm()
	u.warm.boot = h.GetBoot()
	u.reportedLeaving = h.GetLeaving()
	for _, g := range h.GetGrants() {
		u.renew(now, g)
	}
	for _, r := range h.GetChats() {
		u.chats.set(now, r.GetChat(), u.elsewhere(r.GetUpstream()))
	}
}
