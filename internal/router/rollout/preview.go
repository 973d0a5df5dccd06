package rollout

import (
	"maps"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// Preview is what Choose would do with a request, and why.
type Preview struct {
	// Groups are what Choose would return.
	Groups [][]*directory.Upstream
	// Found reports whether there is a roll-out. The other fields are zero if not.
	Found bool
	// To is the new version.
	To    string
	Stage Stage
	// Phase is waiting, canary, shift or all, empty after the roll-out has ended or
	// while there is no upstream of the new version.
	Phase string
	// Reason says why the version is not used, empty if it is.
	Reason string
	// Share is the share of the requests that the new version gets now.
	Share float64
}

// Preview returns what Choose would do with a request now, and changes nothing. During
// the canary phase the groups hold for the next request only, since the allowance of the
// new version is used up by requests.
func (c *Controller) Preview(now clock.Instant, r Request, upstreams []*directory.Upstream) Preview {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Choose runs on a copy, so that both cannot differ.
	scratch := New(c.self, c.limit, c.slack)
	if h := c.versions[r.Service]; h != nil {
		copied := *h
		copied.firstSeen = maps.Clone(h.firstSeen)
		scratch.versions[r.Service] = &copied
	}
	p := c.services[r.Service]
	if p == nil {
		return Preview{Groups: scratch.Choose(now, r, upstreams)}
	}
	copied := *p
	scratch.services[r.Service] = &copied
	v := Preview{Groups: scratch.Choose(now, r, upstreams), Found: true, To: p.order.To, Stage: p.stage, Reason: p.reason}
	if p.stage != Running || p.bad || p.withdrawn {
		if p.stage == Completed {
			v.Share = 1
		}
		return v
	}
	if s := copied.splitUpstreams(upstreams); len(s.next) > 0 {
		v.Phase, v.Share = copied.phase, scratch.currentShare(now, &copied, r.Fresh, s)
	}
	return v
}
