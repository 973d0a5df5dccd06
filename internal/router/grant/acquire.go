package grant

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// defaultRetryAfter is advised where no owner named a time.
	defaultRetryAfter = time.Second
	// offerTimeout bounds an Acquire that may not queue: an owner answers it
	// from memory, so a longer wait means that it is gone.
	offerTimeout = 400 * time.Millisecond
	// holderPart is the divisor of the queue deadline for which a request waits
	// at most at the upstream that holds its chat before it is offered
	// elsewhere. An upstream at its bound has room again soon, and the next one
	// would compute the whole prompt afresh: with no wait, returning chats found
	// 58% of their prompts cached where rendezvous hashing alone found 94%.
	holderPart = 8
	// holderWait bounds the same wait by the tokens of the request, since a wait
	// longer than the prompt takes to compute does not pay. It is twice the
	// time that the stand-in takes for a token of an uncached prompt.
	holderWait = 200 * time.Microsecond
)

// walk is the offer of one attempt to candidate upstreams.
type walk struct {
	client   *Client
	ask      admission.Ask
	class    string
	settings fleet.Class // of class
	order    []hosts.Host
	holder   hosts.Host // where the chat's prefix is most likely cached
	recorded string     // where the home's owner believes the chat to be, "" if not known
	decision admin.Decision
	retry    time.Duration
	status   int
	reason   rpc.Reason
	visited  map[string]bool
}

// statuses gives the HTTP status of a refusal; others are 503.
var statuses = map[rpc.Reason]int{
	rpc.Reason_REASON_FULL:          http.StatusTooManyRequests,
	rpc.Reason_REASON_QUEUE_TIMEOUT: http.StatusTooManyRequests,
}

// Acquire asks for admission of one attempt. An error carries the verdict
// NotRun, an HTTP status and an advised wait.
func (c *Client) Acquire(ctx context.Context, a admission.Ask) (admission.Grant, error) {
	if err := c.waitReady(ctx); err != nil {
		return nil, refusal(http.StatusServiceUnavailable, defaultRetryAfter, "this router takes no new work: %w", err)
	}
	order := c.order(a)
	if len(order) == 0 && !c.directory.Known(a) {
		return nil, refusal(http.StatusNotFound, 0, "%s is not in the host list", subject(a))
	}
	if len(order) == 0 {
		return nil, refusal(http.StatusServiceUnavailable, defaultRetryAfter, "no upstream of %s may take work", subject(a))
	}
	class := a.Class
	if class == "" {
		class = c.directory.Class(a.Workspace)
	}
	w := &walk{
		client: c, ask: a, class: class, settings: c.directory.ClassPolicy(class), order: order, holder: order[0], visited: map[string]bool{}, status: http.StatusServiceUnavailable,
		decision: admin.Decision{
			Time: time.Now(), Request: a.RequestID, Attempt: a.Attempt, Workspace: a.Workspace, Class: class,
			Home: order[0].ID(), ConfigVersion: c.directory.ConfigVersion(),
		},
	}
	g := w.run(ctx)
	if g != nil {
		w.decision.Upstream = g.host.ID()
		c.ring.Add(w.decision)
		c.hold(g)
		// The walk may have waited in a queue beyond the freshness limit.
		if err := c.waitReady(ctx); err != nil {
			g.Release(admission.Report{})
			return nil, refusal(http.StatusServiceUnavailable, defaultRetryAfter, "this router takes no new work: %w", err)
		}
		return g, nil
	}
	w.decision.Refusal = reasonText(w.reason)
	c.ring.Add(w.decision)
	if err := ctx.Err(); err != nil {
		return nil, verdict.Errorf(verdict.NotRun, "admission: %w", err).WithStatus(w.status).WithRetryAfter(w.retry)
	}
	return nil, refusal(w.status, max(w.retry, defaultRetryAfter), "no upstream admitted the request: %s", reasonText(w.reason))
}

// reasonText returns a reason in words, such as "queue timeout".
func reasonText(r rpc.Reason) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(r.String(), "REASON_"), "_", " "))
}

func refusal(status int, retry time.Duration, format string, args ...any) error {
	return verdict.Errorf(verdict.NotRun, format, args...).WithStatus(status).WithRetryAfter(retry)
}

// subject names what was asked for.
func subject(a admission.Ask) string {
	if a.Service != "" {
		return fmt.Sprintf("service %q", a.Service)
	}
	return fmt.Sprintf("model %q", a.Model)
}

// order returns the candidate upstreams, home first.
func (c *Client) order(a admission.Ask) []hosts.Host {
	byID := map[string]hosts.Host{}
	var ids []string
	for _, h := range c.directory.Candidates(a) {
		if !slices.Contains(a.Exclude, h.ID()) {
			byID[h.ID()] = h
			ids = append(ids, h.ID())
		}
	}
	order := place.Order(a.Chat, ids)
	list := make([]hosts.Host, len(order))
	for i, id := range order {
		list[i] = byID[id]
	}
	return list
}

// run offers the attempt to the home or the upstream that the home's owner
// remembers, with a short wait, then to the next in order, and last to a queue.
func (w *walk) run(ctx context.Context) *Grant {
	candidates := w.client.directory.Policy(w.order[0]).Candidates()
	for i, h := range w.order[:min(max(candidates, 1), len(w.order))] {
		if w.visited[h.ID()] {
			continue
		}
		var wait time.Duration
		if i == 0 && w.ask.Model != "" { // a plain service holds no prefix
			wait = min(w.deadline(h)/holderPart, time.Duration(w.ask.Tokens)*holderWait)
		}
		if g := w.offer(ctx, h, i == 0, wait); g != nil || ctx.Err() != nil {
			return g
		}
	}
	earlier := w.reason
	for _, h := range w.queues() {
		// A refusal by an earlier candidate must not stop the walk when the
		// owner of this queue cannot be reached.
		w.reason = rpc.Reason_REASON_NONE
		if g := w.offer(ctx, h, false, w.deadline(h)); g != nil || ctx.Err() != nil {
			return g
		}
		if w.reason == rpc.Reason_REASON_QUEUE_TIMEOUT || w.reason == rpc.Reason_REASON_FULL {
			return nil
		}
	}
	if w.reason == rpc.Reason_REASON_NONE {
		w.reason = earlier
	}
	return nil
}

// queues returns where the attempt may wait: first where the chat's prefix is,
// and the next in order, which serves when the first owner cannot be reached.
func (w *walk) queues() []hosts.Host {
	list := []hosts.Host{w.holder}
	for _, h := range w.order {
		if h.ID() != w.holder.ID() {
			return append(list, h)
		}
	}
	return list
}

// deadline returns the longest wait in the queue of h: the shorter of the
// upstream's deadline and that of the request's class.
func (w *walk) deadline(h hosts.Host) time.Duration {
	return min(w.client.directory.Policy(h).QueueDeadline(), w.settings.QueueDeadline())
}

// offer asks the owner of h, following at most one hint and one redirect. With
// a wait the attempt may queue for that long.
func (w *walk) offer(ctx context.Context, h hosts.Host, home bool, wait time.Duration) *Grant {
	w.visited[h.ID()] = true
	asked := map[string]bool{}
	for _, owner := range w.client.directory.Owners(h) {
		for owner != "" && !asked[owner] {
			asked[owner] = true
			r, err := w.acquire(ctx, owner, h, home, wait)
			w.note(h, owner, r, err)
			if err != nil || ctx.Err() != nil {
				break
			}
			switch {
			case r.Outcome == rpc.Outcome_OUTCOME_GRANTED:
				if home {
					w.recorded = h.ID() // otherwise the owner would have redirected
				}
				return w.granted(h, owner, r)
			case r.Outcome == rpc.Outcome_OUTCOME_REDIRECT:
				w.recorded = r.Redirect
				if g := w.redirect(ctx, r.Redirect, wait); g != nil || ctx.Err() != nil {
					return g
				}
				return w.offer(ctx, h, false, 0)
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

// redirect offers the attempt to the upstream that served the chat last time.
func (w *walk) redirect(ctx context.Context, id string, wait time.Duration) *Grant {
	for _, h := range w.order {
		if h.ID() == id && !w.visited[id] {
			w.holder = h
			return w.offer(ctx, h, false, wait)
		}
	}
	return nil
}

// acquire leaves out the request's id and attempt, which no owner uses: they
// were a third of the message.
func (w *walk) acquire(ctx context.Context, owner string, h hosts.Host, home bool, wait time.Duration) (*rpc.AcquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout+wait)
	defer cancel()
	r, err := w.client.routers.Client(owner).Acquire(ctx, &rpc.AcquireRequest{
		Upstream: h.ID(), Router: w.client.self,
		Workspace: w.ask.Workspace, Class: w.class, Chat: w.ask.Chat, Tokens: w.ask.Tokens,
		MayQueue: wait > 0, QueueMs: uint32(wait.Milliseconds()), Home: home,
		ConfigVersion: w.client.directory.ConfigVersion(),
	})
	if err == nil {
		w.client.directory.Seen(owner, r.ConfigVersion)
	}
	return r, err
}

// note keeps the outcome of one offer for explain and for the refusal.
func (w *walk) note(h hosts.Host, owner string, r *rpc.AcquireResponse, err error) {
	step := admin.Step{Upstream: h.ID(), Owner: owner}
	switch {
	case err != nil:
		step.Outcome = "owner unreachable: " + err.Error()
	case r.Outcome == rpc.Outcome_OUTCOME_REFUSED:
		step.Outcome = "refused: " + reasonText(r.Reason)
		w.refused(r)
	case r.Outcome == rpc.Outcome_OUTCOME_REDIRECT:
		step.Outcome = "redirected to " + r.Redirect
	default:
		step.Outcome = "granted"
	}
	w.decision.Steps = append(w.decision.Steps, step)
}

// refused keeps the shortest advised wait, since any of the candidates may
// admit the request next time.
func (w *walk) refused(r *rpc.AcquireResponse) {
	w.reason = r.Reason
	w.status = http.StatusServiceUnavailable
	if s, ok := statuses[r.Reason]; ok {
		w.status = s
	}
	wait := time.Duration(r.RetryAfterMs) * time.Millisecond
	if wait > 0 && (w.retry == 0 || wait < w.retry) {
		w.retry = wait
	}
}

func (w *walk) granted(h hosts.Host, owner string, r *rpc.AcquireResponse) *Grant {
	g := &Grant{
		client: w.client, host: h, policy: w.client.directory.Policy(h), owner: owner,
		attempt: w.ask.Attempt, priority: w.settings.Rank(), id: r.Grant, fencing: r.Fencing,
		lifetime: time.Duration(r.LifetimeMs) * time.Millisecond,
	}
	g.renewAt = time.Now().Add(g.lifetime / renewalParts)
	if w.ask.Model != "" && w.recorded != h.ID() {
		w.client.placed(w.ask.Chat, w.order[0], h)
	}
	return g
}
