package forward

import (
	"context"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

// errHandedOver means that another upstream has taken over a stream.
var errHandedOver = errors.New("another upstream has taken over the stream")

// successor is an attempt that has resumed a stream and sent its first event.
type successor struct {
	upstream  *directory.Upstream
	response  *http1.Response
	events    *http1.EventReader
	first     http1.Event
	firstAt   clock.Instant
	loadBound int
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// release ends the count of the request at the upstream.
	release func()
	// budget is the memory for its events.
	budget *intake.ResponseBudget
}

func (s *successor) discard() {
	s.cancel(errHandedOver)
	s.response.Close()
	s.budget.ReleaseAll()
	s.release()
}

// trySuccessor sends the request to another upstream while the current one goes on, and
// returns once the other one has sent its first event, or nil. It reads only those
// fields of the job that stay as they are while a stream is relayed.
func (j *job) trySuccessor(ctx context.Context, resumeAfter string) *successor {
	if resumeAfter == "" || j.attemptsSent >= j.route.MaxAttempts() || !j.reserveRetry() {
		return nil
	}
	// The successor has its own log, load bound and place to resume.
	next := &job{
		Gateway: j.Gateway, request: j.request, info: j.info, arrivedAt: j.arrivedAt, config: j.config, route: j.route,
		account: j.account, workspace: j.workspace, service: j.service, serviceName: j.serviceName, body: j.body,
		ctx: j.ctx, deadline: j.deadline, tried: j.tried, attemptsSent: j.attemptsSent, lastEvent: resumeAfter,
	}
	u, err := next.pickUpstream()
	if err != nil {
		return nil
	}
	j.tried[u.ID()] = true
	next.upstream = u.ID()
	j.Gossip.StartRequest(u.ID())
	release := func() { j.Gossip.EndRequest(u.ID()) }
	attempt, cancel := context.WithCancelCause(j.ctx)
	stop := context.AfterFunc(ctx, func() { cancel(errHandedOver) })
	defer stop()
	s, err := next.openSuccessor(attempt, u, j.contentType)
	if err != nil {
		cancel(nil)
		release()
		next.log().WithError(err).WithFields(logrus.Fields{"upstream": u.ID(), "after": resumeAfter}).Info("cannot hand over a stalled stream")
		return nil
	}
	s.cancel, s.release, s.loadBound = cancel, release, next.loadBound
	return s
}

// openSuccessor sends the request to an upstream and reads the first event of its
// response.
func (j *job) openSuccessor(ctx context.Context, u *directory.Upstream, contentType string) (*successor, error) {
	j.reading = j.startReading(u)
	defer j.reading.abandon()
	res, err := j.Pools.Get(u.ID(), u.Incarnation(), u.Address()).Do(ctx, j.buildRequest(u))
	if errors.Is(err, http1.ErrNotSent) {
		return nil, err
	}
	if err != nil {
		return nil, j.recordSuccessorFailure(ctx, u, err)
	}
	s := &successor{upstream: u, response: res, budget: intake.NewResponseBudget(ctx, j.account)}
	if s.events, s.first, err = j.firstEvent(ctx, s, contentType); err != nil {
		res.Close()
		s.budget.ReleaseAll()
		return nil, err
	}
	s.firstAt = clock.Now()
	j.reading.firstEvent()
	return s, nil
}

// firstEvent checks the header of a response that resumes a stream and reads its first
// event.
func (j *job) firstEvent(ctx context.Context, s *successor, contentType string) (*http1.EventReader, http1.Event, error) {
	u, res := s.upstream, s.response
	info := j.Protocol.ParseResponse(res.Status(), res.Header())
	j.recordLoad(u, info)
	j.recordAnnouncements(u, res.Status(), info)
	if info.OtherIncarnation || info.NotRun {
		return nil, http1.Event{}, j.rejected(u, res, info)
	}
	if res.Status() != http.StatusOK || !info.Signed || res.Header().Get("Content-Type") != contentType {
		return nil, http1.Event{}, j.recordSuccessorFailure(ctx, u, verdict.Errorf(verdict.Ran, "upstream %s resumed the stream with status %d", u.ID(), res.Status()))
	}
	events := http1.NewEventReader(res, s.budget)
	for {
		e, err := events.Next()
		if errors.Is(err, http1.ErrNoRoom) {
			return nil, http1.Event{}, verdict.New(verdict.Ran, err)
		}
		if err != nil {
			return nil, http1.Event{}, j.recordSuccessorFailure(ctx, u, verdict.Errorf(verdict.Ran, "stream of %s broke before its first event: %w", u.ID(), err))
		}
		if !e.IsComment() {
			return events, e, nil
		}
	}
}

// recordSuccessorFailure records a failed attempt in the upstream's health, unless the
// attempt was given up.
func (j *job) recordSuccessorFailure(ctx context.Context, u *directory.Upstream, err error) error {
	if errors.Is(context.Cause(ctx), errHandedOver) {
		return err
	}
	return j.recordFailure(u, err)
}

// takeOver relays the rest of a stream from its successor.
func (j *job) takeOver(s *successor) (result error) {
	j.Rollouts.RecordSent(j.serviceName, s.upstream)
	defer func() { j.recordOutcome(s.upstream, 0, result) }()
	defer s.release()
	defer s.budget.ReleaseAll()
	defer s.cancel(nil)
	defer s.response.Close()
	j.log().WithFields(logrus.Fields{"from": j.upstream, "upstream": s.upstream.ID(), "after": j.lastEvent}).Info("stalled stream handed over")
	j.attemptsSent++
	j.mayHaveRun = true
	j.upstream, j.loadBound, j.attemptBegan = s.upstream.ID(), s.loadBound, s.firstAt
	j.attemptEvents = 0
	j.recordCached(s.upstream)
	return j.relayEvents(s.upstream, s.response, s.events, &s.first, func() { s.cancel(errUpstreamStalled) })
}
