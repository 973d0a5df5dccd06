package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rollout"
)

// Explanation is where a request would go now, and why. It holds no API key.
type Explanation struct {
	Method    string `json:"method"`
	Host      string `json:"host"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`

	// Config is the version of the configuration, 0 if there is none. ConfigFresh is
	// whether it was confirmed recently enough to accept API keys.
	Config      uint64 `json:"config"`
	ConfigAgeMS int64  `json:"config_age_ms"`
	ConfigFresh bool   `json:"config_fresh"`

	Route     string `json:"route,omitempty"`
	RouteKind string `json:"route_kind,omitempty"`
	// NeedsKey is whether the route requires an API key, and Workspace the name of the
	// workspace that the key belongs to.
	NeedsKey   bool   `json:"needs_key"`
	Workspace  string `json:"workspace,omitempty"`
	Priority   int    `json:"priority"`
	Service    string `json:"service,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	// Affine is whether the request is placed by its prompt prefix.
	Affine bool `json:"affine"`

	Quarantined []ExplainedQuarantine `json:"quarantined,omitempty"`
	// Capacity is set for services whose requests pass the shedding controller, and
	// Rollout for those that move to another version.
	Capacity *ExplainedCapacity `json:"capacity,omitempty"`
	Rollout  *ExplainedRollout  `json:"rollout,omitempty"`
	// Groups are the upstreams by version, of which the first with a usable upstream
	// serves the request.
	Groups []ExplainedGroup `json:"groups,omitempty"`
	// NotReceiving are the upstreams of the service that take no new work.
	NotReceiving []ExplainedCandidate `json:"not_receiving,omitempty"`

	// Choice is the upstream of the first attempt. Without one there is a Refusal.
	Choice  *ExplainedChoice  `json:"choice,omitempty"`
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
}

// ExplainedQuarantine is a quarantined set of parts that the request has.
type ExplainedQuarantine struct {
	Parts   []string `json:"parts"`
	Crashes int      `json:"crashes"`
	LeftMS  int64    `json:"left_ms"`
	// Probe is whether the request would be let through to find out whether the set is
	// sound.
	Probe bool `json:"probe"`
}

// ExplainedCapacity is the state of the shedding controller. The rates are per second.
type ExplainedCapacity struct {
	Short bool `json:"short"`
	// Share is the part of the requests of this priority and workspace that is admitted,
	// and Probability that of requests like this one.
	Share       float64 `json:"share"`
	Probability float64 `json:"probability"`
	Reason      string  `json:"reason,omitempty"`
	Capacity    float64 `json:"capacity"`
	Demand      float64 `json:"demand"`
	Rejected    float64 `json:"rejected"`
	Peers       int     `json:"peers"`
	OldestMS    int64   `json:"oldest_ms"`
	// RetryAfterMS is that of a refused request.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// ExplainedRollout is the state of a roll-out.
type ExplainedRollout struct {
	To     string `json:"to"`
	Stage  string `json:"stage"`
	Phase  string `json:"phase,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Share is the share of the requests that the new version gets now.
	Share float64 `json:"share"`
	// OrdersFresh is whether the operators' orders were confirmed recently.
	OrdersFresh bool `json:"orders_fresh"`
}

// ExplainedGroup is a group of upstreams.
type ExplainedGroup struct {
	Versions  []string `json:"versions"`
	Upstreams int      `json:"upstreams"`
	// Candidates are the upstreams considered, in order. They are empty if an earlier
	// group has a usable upstream.
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	// Explored is the share of requests that would be placed to find out whether slow
	// upstreams have recovered.
	Explored float64 `json:"explored,omitempty"`
}

// ExplainedCandidate is an upstream considered for the request.
type ExplainedCandidate struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Version       string `json:"version,omitempty"`
	Load          int    `json:"load"`
	OwnLoad       int    `json:"own_load"`
	Slots         int    `json:"slots"`
	// Bound is the highest load that an affine request may lead to, 0 without one.
	Bound int `json:"bound,omitempty"`
	// Slowdown is how long work takes there as a multiple of the fastest candidate, 0 for
	// affine requests. SlowdownAgeMS is negative if there is no observation.
	Slowdown      float64 `json:"slowdown,omitempty"`
	SlowdownAgeMS int64   `json:"slowdown_age_ms,omitempty"`
	// FirstEventMS and Uncached are set for prompts that state their tokens.
	FirstEventMS int64 `json:"first_event_ms,omitempty"`
	Uncached     int   `json:"uncached_tokens,omitempty"`
	// Excluded is whether it must not receive the request, and Suspect whether it does so
	// only if most others are suspect too; Reasons say why.
	Excluded bool     `json:"excluded"`
	Suspect  bool     `json:"suspect"`
	Reasons  []string `json:"reasons,omitempty"`
	// Probability is the share of requests like this one, with other IDs, that would go
	// there.
	Probability float64 `json:"probability"`
}

// ExplainedChoice is the upstream that the request would go to.
type ExplainedChoice struct {
	Upstream string `json:"upstream"`
	// Rule is the reason that the log line of the pick would have.
	Rule    string `json:"rule"`
	Version string `json:"version,omitempty"`
	// Group is the index of the group.
	Group int `json:"group"`
}

// ExplainedRefusal is the response to a request that would not be sent.
type ExplainedRefusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMS is 0 without a Retry-After.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Explain returns where a request with a header would go as its first attempt. It sends
// nothing and counts nothing. What depends on the body, on the memory for callers or on
// later failures is not included.
func (g *Gateway) Explain(ctx context.Context, method, host, path string, header http.Header) Explanation {
	now := clock.Now()
	path, _, _ = strings.Cut(path, "?")
	e := Explanation{Method: method, Host: host, Path: path, ConfigFresh: g.ActiveConfig.Fresh(now)}
	j := &job{
		Gateway: g.explaining(), request: (&http.Request{Method: method, Host: host}).WithContext(ctx),
		arrivedAt: now, tried: map[string]bool{}, config: g.ActiveConfig.Table(),
	}
	if j.config == nil {
		e.refuse(http.StatusServiceUnavailable, "no configuration", shortRetryAfter)
		return e
	}
	e.Config, e.ConfigAgeMS = j.config.Version(), g.ActiveConfig.Age(now).Milliseconds()
	if headerTooLarge(j.config, header) {
		e.RequestID = g.Protocol.RequestID(header)
		e.refuse(http.StatusRequestHeaderFieldsTooLarge, "header too large", 0)
		return e
	}
	j.info = g.Protocol.ParseRequest(header)
	e.RequestID = j.info.ID
	if j.route = j.config.Match(host, path); j.route == nil {
		e.refuse(http.StatusNotFound, "no route", 0)
		return e
	}
	if !j.explainKey(&e) {
		return e
	}
	j.setDeadline()
	defer j.cancel()
	e.DeadlineMS = j.deadline.Sub(now).Milliseconds()
	if j.outlastsShutdown() {
		e.refuse(http.StatusServiceUnavailable, "this router is stopping", shortRetryAfter)
	}
	j.pickService()
	e.Service, e.Affine, e.Priority = j.serviceName, j.affine(), j.workspace.Priority(j.route)
	j.explainQuarantine(now, &e)
	j.explainCapacity(now, &e)
	j.explainPick(now, &e)
	return e
}

// explaining returns a gateway with caches of its own, so that those of g remain as they
// are.
func (g *Gateway) explaining() *Gateway {
	own := New(g.Dependencies)
	own.prefixes.startedAt = g.prefixes.startedAt
	return own
}

// refuse sets the refusal unless the request is refused for an earlier reason already.
func (e *Explanation) refuse(status int, reason string, wait time.Duration) {
	if e.Refusal == nil {
		e.Refusal = &ExplainedRefusal{status, reason, wait.Milliseconds()}
	}
}

// explainKey looks up the workspace as authorize does.
func (j *job) explainKey(e *Explanation) bool {
	e.Route, e.RouteKind, e.NeedsKey = j.route.Name(), j.route.Kind().String(), j.config.NeedsKey(j.route)
	if !e.NeedsKey {
		return true
	}
	if !e.ConfigFresh {
		e.refuse(http.StatusServiceUnavailable, "configuration not confirmed", shortRetryAfter)
		return false
	}
	if j.workspace = j.config.Workspace(j.info.APIKey); j.workspace == nil {
		e.refuse(http.StatusUnauthorized, "unknown key", 0)
		return false
	}
	e.Workspace = j.workspace.Name()
	return true
}

func (j *job) explainQuarantine(now clock.Instant, e *Explanation) {
	for _, m := range j.Quarantine.Matches(now, j.parts(), j.MayProbe) {
		q := ExplainedQuarantine{Crashes: m.Entry.Crashes(), LeftMS: m.Entry.TimeLeft(now).Milliseconds(), Probe: m.Probe}
		for _, p := range m.Entry.Parts() {
			q.Parts = append(q.Parts, quarantine.Part.Name(p))
		}
		e.Quarantined = append(e.Quarantined, q)
		if !m.Probe {
			e.refuse(http.StatusServiceUnavailable, errQuarantined.Error(), m.Entry.RetryAfter(now))
		}
	}
}

func (j *job) explainCapacity(now clock.Instant, e *Explanation) {
	if !j.shedsLoad() {
		return
	}
	p := j.Shedding.Preview(now, j.capacityRequest(now))
	e.Capacity = &ExplainedCapacity{
		Short: p.Short, Share: 1, Probability: roundRate(p.Probability), Reason: p.Reason, Capacity: roundRate(p.Capacity), Demand: roundRate(p.Demand),
		Rejected: roundRate(p.Rejected), Peers: p.Peers, OldestMS: p.Oldest.Milliseconds(), RetryAfterMS: p.RetryAfter.Milliseconds(),
	}
	if p.Short {
		e.Capacity.Share = roundRate(p.Share)
	}
	if p.Probability == 0 {
		e.refuse(http.StatusServiceUnavailable, errNotAdmitted.Error(), p.RetryAfter)
	}
}

// explainPick adds the candidates, and the choice if the request is not refused already.
func (j *job) explainPick(now clock.Instant, e *Explanation) {
	if j.service == nil {
		e.refuse(http.StatusServiceUnavailable, errNoUpstream.Error(), longRetryAfter)
		return
	}
	left, reasons := j.Directory.NotReceiving(j.serviceName)
	for i, u := range left {
		c := j.explainUpstream(u)
		c.Excluded, c.Reasons = true, reasons[i:i+1]
		loads, own := j.Gossip.Loads(now, []uint64{u.IDHash()})
		c.Load, c.OwnLoad = loads[0], own[0]
		e.NotReceiving = append(e.NotReceiving, c)
	}
	all := j.Directory.Receiving(j.serviceName)
	fresh := j.OrdersFresh(now)
	p := j.Rollouts.Preview(now, rollout.Request{Service: j.serviceName, Key: j.rolloutKey(), Fresh: fresh}, all)
	if p.Found {
		e.Rollout = &ExplainedRollout{To: p.To, Stage: p.Stage.String(), Phase: p.Phase, Reason: p.Reason, Share: roundRate(p.Share), OrdersFresh: fresh}
	}
	var choice *ExplainedChoice
	for i, group := range p.Groups {
		g := ExplainedGroup{Versions: versionsOf(group), Upstreams: len(group)}
		if choice == nil {
			if choice = j.explainGroup(now, group, &g); choice != nil {
				choice.Group = i
			}
		}
		e.Groups = append(e.Groups, g)
	}
	if choice == nil {
		wait := longRetryAfter
		if pause := j.pauseOfAll(all); pause > 0 {
			wait = pause
		}
		e.refuse(http.StatusServiceUnavailable, errNoUpstream.Error(), wait)
	}
	if e.Refusal == nil {
		e.Choice = choice
	}
}

func (j *job) explainUpstream(u *directory.Upstream) ExplainedCandidate {
	return ExplainedCandidate{ID: u.ID(), FailureDomain: u.FailureDomain(), Version: u.Version(), Slots: u.Slots()}
}
