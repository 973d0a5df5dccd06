package owner

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// grantKey identifies a grant. Ids are unique only within one fencing token, so
// the token distinguishes grants of an earlier owner from this owner's.
type grantKey struct {
	fencing uint64
	id      uint64
}

// grant is the admission of one running request.
type grant struct {
	workspace string
	class     string
	// epoch is the number of cold starts seen when the request was admitted.
	// Only completions of the current epoch show whether the upstream is warm
	// or slow; earlier requests may be slow because of a cold start that is
	// already known.
	epoch uint32
	// renewedAt is the time of admission or of the last renewal.
	renewedAt time.Time
	// forgetAt is two grant lifetimes after renewedAt.
	forgetAt time.Time
}

// admit grants one request.
func (u *upstream) admit(now time.Time, p Policy, r *rpc.AcquireRequest) *rpc.AcquireResponse {
	u.lastGrantID++
	u.addGrant(now, p, grantKey{u.fencing, u.lastGrantID}, &grant{
		workspace: r.GetWorkspace(), class: r.GetClass(), epoch: u.coldStart.epoch,
	})
	return &rpc.AcquireResponse{
		Outcome:    rpc.Outcome_OUTCOME_GRANTED,
		Grant:      u.lastGrantID,
		Fencing:    u.fencing,
		LifetimeMs: uint32(p.GrantLifetime().Milliseconds()),
	}
}

func (u *upstream) addGrant(now time.Time, p Policy, k grantKey, g *grant) {
	g.renewedAt, g.forgetAt = now, now.Add(2*p.GrantLifetime())
	u.grants[k] = g
	u.poolLoad.ownLoad.Add(1)
}

func (u *upstream) removeGrant(k grantKey) bool {
	if _, ok := u.grants[k]; !ok {
		return false
	}
	delete(u.grants, k)
	u.poolLoad.ownLoad.Add(-1)
	return true
}

// renewGrant extends a grant and reports whether it belongs to this owner. An
// unknown grant is a running request that an earlier owner admitted or whose
// renewals were late; it is counted from now on. A newer fencing token belongs
// to a later owner.
func (u *upstream) renewGrant(now time.Time, r *rpc.Grant) bool {
	if r.GetFencing() > u.fencing {
		return false
	}
	p := u.policy()
	k := grantKey{r.GetFencing(), r.GetId()}
	if g := u.grants[k]; g != nil {
		g.renewedAt, g.forgetAt = now, now.Add(2*p.GrantLifetime())
		return true
	}
	// A grant taken over from another owner belongs to no epoch: its start was
	// not seen.
	u.addGrant(now, p, k, &grant{workspace: r.GetWorkspace(), class: r.GetClass(), epoch: noEpoch})
	return true
}

// releaseGrant ends a grant and updates the cold-start limit from its outcome.
// A new boot ID or a lost connection counts as a restart even if the grant is
// unknown.
func (u *upstream) releaseGrant(now time.Time, r *rpc.Release) {
	k := grantKey{r.GetFencing(), r.GetId()}
	g := u.grants[k]
	if u.removeGrant(k) {
		u.completionRate.record(now)
		u.poolLoad.recordCompletion()
	}
	p := u.policy()
	switch {
	case u.coldStart.observeBootID(r.GetBoot()), r.GetConnectionLost():
		u.resetToColdLimit(now)
	case g == nil || !r.GetOk() || g.epoch != u.coldStart.epoch:
	case u.coldStart.observeLatency(p.ColdTTFTFactor(), r):
		u.resetToColdLimit(now)
	default:
		u.coldStart.raiseLimit(p.MaxLoad())
	}
	u.dispatch(now)
}

// expireGrants removes grants that were not renewed for two lifetimes and counts
// the stale ones, which were not renewed for the length of a learning phase.
func (u *upstream) expireGrants(now time.Time) {
	stale, maxAge := 0, u.policy().GrantLifetime()/learningDivisor
	for k, g := range u.grants {
		switch {
		case !now.Before(g.forgetAt):
			u.removeGrant(k)
		case now.Sub(g.renewedAt) > maxAge:
			stale++
		}
	}
	u.setStaleGrants(stale)
}

func (u *upstream) setStaleGrants(n int) {
	u.poolLoad.staleLoad.Add(int64(n - u.staleGrants))
	u.staleGrants = n
}
