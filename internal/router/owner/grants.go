package owner

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// grantKey identifies a grant. Ids are unique within one fencing token, so
// that grants of an earlier owner are told apart from own ones.
type grantKey struct {
	fencing uint64
	id      uint64
}

// grant is one running request.
type grant struct {
	workspace string
	class     string
	// epoch is the number of cold starts seen when the grant was given. Only
	// completions of the present epoch are evidence of a warm or slow upstream;
	// earlier ones are slow because of a cold start that is already known.
	epoch uint32
	// renewedAt is the time of the last sign that the request runs.
	renewedAt time.Time
	// forgetAt is the end of the second lifetime after the last renewal.
	forgetAt time.Time
}

// admit admits one request.
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

// renewGrant extends a grant and reports whether it belongs here. An unknown grant
// is running work that an earlier owner admitted, or whose renewals were late;
// it counts from now on. A newer fencing token belongs to a later owner.
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
	// Adopted work belongs to no epoch: its start was not seen.
	u.addGrant(now, p, k, &grant{workspace: r.GetWorkspace(), class: r.GetClass(), epoch: noEpoch})
	return true
}

// releaseGrant ends a grant and learns from its outcome. Signs of a restart count
// even if the grant is unknown.
func (u *upstream) releaseGrant(now time.Time, r *rpc.Release) {
	k := grantKey{r.GetFencing(), r.GetId()}
	g := u.grants[k]
	if u.removeGrant(k) {
		u.completionRate.record(now)
		u.poolLoad.recordCompletion()
	}
	p := u.policy()
	switch {
	case u.coldStart.observeBoot(r.GetBoot()), r.GetConnectionLost():
		u.resetToColdLimit(now)
	case g == nil || !r.GetOk() || g.epoch != u.coldStart.epoch:
	case u.coldStart.observeLatency(p.ColdTTFTFactor(), r):
		u.resetToColdLimit(now)
	default:
		u.coldStart.raiseLimit(p.MaxLoad())
	}
	u.dispatch(now)
}

// expireGrants forgets grants that were not renewed for two lifetimes.
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
