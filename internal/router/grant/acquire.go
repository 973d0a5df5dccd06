package grant

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// defaultRetryAfter is used if no owner returned a retry time.
	defaultRetryAfter = time.Second
	// offerTimeout limits an Acquire call that may not queue: an owner answers
	// from memory, so a longer wait means that it is unavailable.
	offerTimeout = 400 * time.Millisecond
	// holderWaitDivisor limits the time that a request queues at its prefix
	// holder before it is offered elsewhere: the queue deadline divided by this
	// number. An upstream at its bound has room again soon, and another one
	// would compute the whole prompt again: without a wait, returning chats
	// found 58% of their prompts cached where rendezvous hashing alone found
	// 94%.
	holderWaitDivisor = 8
	// holderWaitPerToken limits the same wait by the tokens of the request,
	// since a wait longer than the computation of the prompt does not pay. It
	// is twice the time that hemlock-standin takes per token of an uncached
	// prompt.
	holderWaitPerToken = 200 * time.Microsecond
)

// acquisition offers one attempt to the owners of candidate upstreams.
type acquisition struct {
	client           *Client
	request          admission.Request
	class            string
	classPolicy      fleetconfig.Class // configuration of class
	candidates       []hosts.Host
	prefixHolder     hosts.Host // where the chat's prefix is most likely cached
	recordedUpstream string     // upstream of the chat in the home owner's placement table, "" if unknown
	decision         admin.Decision
	retryAfter       time.Duration
	status           int
	reason           rpc.Reason
	offered          map[string]bool
}

// refusalStatuses maps refusal reasons to HTTP statuses; all others map to 503.
var refusalStatuses = map[rpc.Reason]int{
	rpc.Reason_REASON_FULL:          http.StatusTooManyRequests,
	rpc.Reason_REASON_QUEUE_TIMEOUT: http.StatusTooManyRequests,
}

// Acquire requests admission of one attempt. An error carries the verdict
// NotRun, an HTTP status and a retry time.
func (c *Client) Acquire(ctx context.Context, a admission.Request) (admission.Grant, error) {
	if err := c.waitReady(ctx); err != nil {
		return nil, refusalError(http.StatusServiceUnavailable, defaultRetryAfter, "this router takes no new work: %w", err)
	}
	candidates := c.candidates(a)
	if len(candidates) == 0 && !c.directory.HasUpstream(a) {
		return nil, refusalError(http.StatusNotFound, 0, "%s is not in the host list", subject(a))
	}
	if len(candidates) == 0 {
		return nil, refusalError(http.StatusServiceUnavailable, defaultRetryAfter, "no upstream of %s may take work", subject(a))
	}
	class := a.Class
	if class == "" {
		class = c.directory.Class(a.Workspace)
	}
	acq := &acquisition{
		client: c, request: a, class: class, classPolicy: c.directory.ClassPolicy(class), candidates: candidates, prefixHolder: candidates[0], offered: map[string]bool{}, status: http.StatusServiceUnavailable,
		decision: admin.Decision{
			Time: time.Now(), Request: a.RequestID, Attempt: a.Attempt, Workspace: a.Workspace, Class: class,
			Home: candidates[0].ID(), ConfigVersion: c.directory.ConfigVersion(),
		},
	}
	g := acq.offerAll(ctx)
	if g != nil {
		acq.decision.Upstream = g.host.ID()
		c.decisions.Add(acq.decision)
		c.addGrant(g)
		// The request may have queued for longer than the freshness limit.
		if err := c.waitReady(ctx); err != nil {
			g.Release(admission.Report{})
			return nil, refusalError(http.StatusServiceUnavailable, defaultRetryAfter, "this router takes no new work: %w", err)
		}
		return g, nil
	}
	acq.decision.Refusal = reasonText(acq.reason)
	c.decisions.Add(acq.decision)
	if err := ctx.Err(); err != nil {
		return nil, verdict.Errorf(verdict.NotRun, "admission: %w", err).WithStatus(acq.status).WithRetryAfter(acq.retryAfter)
	}
	return nil, refusalError(acq.status, max(acq.retryAfter, defaultRetryAfter), "no upstream admitted the request: %s", reasonText(acq.reason))
}

// reasonText returns a reason in words, such as "queue timeout".
func reasonText(r rpc.Reason) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(r.String(), "REASON_"), "_", " "))
}

func refusalError(status int, retryAfter time.Duration, format string, args ...any) error {
	return verdict.Errorf(verdict.NotRun, format, args...).WithStatus(status).WithRetryAfter(retryAfter)
}

// subject returns the requested service or model for error messages.
func subject(a admission.Request) string {
	if a.Service != "" {
		return fmt.Sprintf("service %q", a.Service)
	}
	return fmt.Sprintf("model %q", a.Model)
}

// candidates returns the candidate upstreams in placement order, home first.
func (c *Client) candidates(a admission.Request) []hosts.Host {
	byID := map[string]hosts.Host{}
	var ids []string
	for _, h := range c.directory.Candidates(a) {
		if !slices.Contains(a.Exclude, h.ID()) {
			byID[h.ID()] = h
			ids = append(ids, h.ID())
		}
	}
	order := rendezvous.Order(a.Chat, ids)
	list := make([]hosts.Host, len(order))
	for i, id := range order {
		list[i] = byID[id]
	}
	return list
}

// offerAll offers the attempt to the home, or to the upstream that its owner
// recorded, with a short wait, then to the next candidates, and at last to a
// queue.
func (a *acquisition) offerAll(ctx context.Context) *Grant {
	limit := a.client.directory.Policy(a.candidates[0]).Candidates()
	for i, h := range a.candidates[:min(max(limit, 1), len(a.candidates))] {
		if a.offered[h.ID()] {
			continue
		}
		var wait time.Duration
		if i == 0 && a.request.Model != "" { // a plain service caches no prefix
			wait = min(a.queueDeadline(h)/holderWaitDivisor, time.Duration(a.request.Tokens)*holderWaitPerToken)
		}
		if g := a.offer(ctx, h, i == 0, wait); g != nil || ctx.Err() != nil {
			return g
		}
	}
	earlierReason := a.reason
	for _, h := range a.queueCandidates() {
		// A refusal by an earlier candidate must not stop the loop when the
		// owner of this queue is unreachable.
		a.reason = rpc.Reason_REASON_NONE
		if g := a.offer(ctx, h, false, a.queueDeadline(h)); g != nil || ctx.Err() != nil {
			return g
		}
		if a.reason == rpc.Reason_REASON_QUEUE_TIMEOUT || a.reason == rpc.Reason_REASON_FULL {
			return nil
		}
	}
	if a.reason == rpc.Reason_REASON_NONE {
		a.reason = earlierReason
	}
	return nil
}

// queueCandidates returns the upstreams where the attempt may queue: the prefix
// holder, and the next candidate in case the holder's owner is unreachable.
func (a *acquisition) queueCandidates() []hosts.Host {
	list := []hosts.Host{a.prefixHolder}
	for _, h := range a.candidates {
		if h.ID() != a.prefixHolder.ID() {
			return append(list, h)
		}
	}
	return list
}

// queueDeadline returns the longest time in the queue of h: the lesser of the
// deadlines of the upstream and of the request's class.
func (a *acquisition) queueDeadline(h hosts.Host) time.Duration {
	return min(a.client.directory.Policy(h).QueueDeadline(), a.classPolicy.QueueDeadline())
}

// offer asks the possible owners of h for a grant, following owner hints and at
// most one redirect. With a wait, the attempt may queue for that long.
func (a *acquisition) offer(ctx context.Context, h hosts.Host, home bool, wait time.Duration) *Grant {
	a.offered[h.ID()] = true
	askedOwners := map[string]bool{}
	for _, owner := range a.client.directory.OwnerAddresses(h) {
		for owner != "" && !askedOwners[owner] {
			askedOwners[owner] = true
			r, err := a.askOwner(ctx, owner, h, home, wait)
			a.recordStep(h, owner, r, err)
			if err != nil || ctx.Err() != nil {
				break
			}
			switch {
			case r.Outcome == rpc.Outcome_OUTCOME_GRANTED:
				if home {
					a.recordedUpstream = h.ID() // otherwise the owner would have redirected
				}
				return a.newGrant(h, owner, r)
			case r.Outcome == rpc.Outcome_OUTCOME_REDIRECT:
				a.recordedUpstream = r.Redirect
				if g := a.followRedirect(ctx, r.Redirect, wait); g != nil || ctx.Err() != nil {
					return g
				}
				return a.offer(ctx, h, false, 0)
			case r.Reason != rpc.Reason_REASON_NOT_OWNER:
				return nil
			}
			owner = r.OwnerHint
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// followRedirect offers the attempt to the upstream that served the chat last.
func (a *acquisition) followRedirect(ctx context.Context, id string, wait time.Duration) *Grant {
	for _, h := range a.candidates {
		if h.ID() == id && !a.offered[id] {
			a.prefixHolder = h
			return a.offer(ctx, h, false, wait)
		}
	}
	return nil
}

// askOwner sends one Acquire call. It omits the request's id and attempt, which
// no owner uses: they were a third of the message.
func (a *acquisition) askOwner(ctx context.Context, owner string, h hosts.Host, home bool, wait time.Duration) (*rpc.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout+wait)
	defer cancel()
	r, err := a.client.routers.Client(owner).Acquire(ctx, &rpc.AcquireRequest{
		Upstream: h.ID(), Router: a.client.routerID,
		Workspace: a.request.Workspace, Class: a.class, Chat: a.request.Chat, Tokens: a.request.Tokens,
		MayQueue: wait > 0, QueueMs: uint32(wait.Milliseconds()), Home: home,
		ConfigVersion: a.client.directory.ConfigVersion(),
	})
	if err == nil {
		a.client.directory.ObserveConfigVersion(owner, r.ConfigVersion)
	}
	return r, err
}

// recordStep records the outcome of one offer for the explain output and the
// refusal.
func (a *acquisition) recordStep(h hosts.Host, owner string, r *rpc.AcquireResponse, err error) {
	step := admin.Step{Upstream: h.ID(), Owner: owner}
	switch {
	case err != nil:
		step.Outcome = "owner unreachable: " + err.Error()
	case r.Outcome == rpc.Outcome_OUTCOME_REFUSED:
		step.Outcome = "refused: " + reasonText(r.Reason)
		a.recordRefusal(r)
	case r.Outcome == rpc.Outcome_OUTCOME_REDIRECT:
		step.Outcome = "redirected to " + r.Redirect
	default:
		step.Outcome = "granted"
	}
	a.decision.Steps = append(a.decision.Steps, step)
}

// recordRefusal records a refusal. It keeps the shortest retry time, since any
// of the candidates may admit the request next time.
func (a *acquisition) recordRefusal(r *rpc.AcquireResponse) {
	a.reason = r.Reason
	a.status = http.StatusServiceUnavailable
	if s, ok := refusalStatuses[r.Reason]; ok {
		a.status = s
	}
	wait := time.Duration(r.RetryAfterMs) * time.Millisecond
	if wait > 0 && (a.retryAfter == 0 || wait < a.retryAfter) {
		a.retryAfter = wait
	}
}

func (a *acquisition) newGrant(h hosts.Host, owner string, r *rpc.AcquireResponse) *Grant {
	g := &Grant{
		client: a.client, host: h, policy: a.client.directory.Policy(h), owner: owner,
		attempt: a.request.Attempt, priority: a.classPolicy.Rank(), id: r.Grant, fencing: r.Fencing,
		lifetime: time.Duration(r.LifetimeMs) * time.Millisecond,
	}
	g.renewAt = time.Now().Add(g.lifetime / renewalDivisor)
	if a.request.Model != "" && a.recordedUpstream != h.ID() {
		a.client.reportPlacement(a.request.Chat, a.candidates[0], h)
	}
	return g
}
