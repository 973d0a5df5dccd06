package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/budget"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

// maxBufferedResponse is how much of a response is read before it is relayed,
// in bytes. A longer response is relayed as it arrives, so it cannot be
// replaced by another attempt any more.
const maxBufferedResponse = 256 << 10

const (
	// maxRejectionBody and rejectionBodyTimeout limit what is read of the body of a
	// rejection, so that its connection can be reused. A connection with a longer or
	// slower body is closed.
	maxRejectionBody     = 16 << 10
	rejectionBodyTimeout = 100 * time.Millisecond
	// unusualPause is the pause above which a request for it is logged as a
	// warning.
	unusualPause = time.Minute
)

var (
	errNotReceiving = errors.New("the upstream takes no new work any more")
	errPaused       = errors.New("the upstream asked for a pause")
	errUnconfirmed  = errors.New("configuration not confirmed")
	// errNoEvents means that a stream without length or chunks ended before its first
	// event. Nothing shows that it is complete.
	errNoEvents = fmt.Errorf("stream ended without an event: %w", io.ErrUnexpectedEOF)
)

const (
	// relayBufferSize is the buffer size for relaying a long response, in bytes, and
	// smallRelayBuffer that while the budget for callers is used up.
	relayBufferSize  = 32 << 10
	smallRelayBuffer = 4 << 10
	// freeResponseBytes is how much of a response is covered by what every request
	// reserves. Most responses are shorter.
	freeResponseBytes = 8 << 10
)

// bufferedResponse is a response of an upstream, or its beginning.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// reserved is what is reserved for the body.
	reserved int64
}

// sendOnce sends the request to one upstream. It returns nil once the caller
// has its final response.
func (j *job) sendOnce() (result error) {
	if j.remaining() < minRemaining {
		return verdict.New(verdict.NotRun, errDeadlineExceeded)
	}
	if err := j.quarantined(clock.Now()); err != nil {
		return verdict.New(verdict.NotRun, err)
	}
	if err := j.checkCapacity(clock.Now()); err != nil {
		return err
	}
	u, err := j.pickUpstream()
	if err != nil {
		return err
	}
	j.tried[u.ID()] = true
	j.upstream = u.ID()
	if !j.keyAccepted(clock.Now()) {
		return verdict.New(verdict.NotRun, errUnconfirmed)
	}
	j.Gossip.StartRequest(u.ID())
	defer j.Gossip.EndRequest(u.ID())
	j.Rollouts.RecordSent(j.serviceName, u)
	began := clock.Now()
	defer func() { j.recordOutcome(u, began, result) }()
	j.timing = j.startTiming(u)
	defer j.timing.abandon()
	j.reading = j.startReading(u)
	defer j.reading.abandon()
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	j.stall = newStallGuard(j.reserveRetry, func() { cancel(errUpstreamStalled) })
	j.stall.arm(j.stallTimeout())
	defer j.stall.pause()
	j.attemptBegan, j.attemptEvents = 0, 0
	sentAt := clock.Now()
	res, err := j.Pools.Get(u.ID(), u.Incarnation(), u.Address()).Do(ctx, j.buildRequest(u))
	if errors.Is(err, http1.ErrNotSent) {
		return err
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		j.recordGone(u)
	}
	if err != nil {
		if verdict.FromError(err) != verdict.NotRun {
			j.attemptsSent++
		}
		return j.recordFailure(u, err)
	}
	defer res.Close()
	j.attemptsSent++
	j.recordCapacity(u, res, clock.Since(sentAt))
	return j.handleResponse(u, res, func() { cancel(errUpstreamStalled) })
}

// keyAccepted reports whether the route needs no API key, or the configuration is
// recent enough to accept one.
func (j *job) keyAccepted(now clock.Instant) bool {
	return !j.config.NeedsKey(j.route) || j.ActiveConfig.Fresh(now)
}

// checkSend returns why a request must not be sent to an upstream any more. What
// allowed it when the upstream was picked may have ended while the connection was
// opened or the process was paused.
func (j *job) checkSend(now clock.Instant, u *directory.Upstream) error {
	switch {
	case j.deadline.Sub(now) < minRemaining:
		return errDeadlineExceeded
	case !j.keyAccepted(now):
		return errUnconfirmed
	case j.Health.PauseLeft(now, u.ID()) > 0:
		return errPaused
	case !j.Directory.Receives(u):
		return errNotReceiving
	}
	return j.quarantined(now)
}

// buildRequest returns the request that is sent to the upstream.
func (j *job) buildRequest(u *directory.Upstream) http1.Request {
	attempt := Attempt{Upstream: u, Priority: j.workspace.Priority(j.route), ResumeAfter: j.lastEvent}
	if j.workspace != nil {
		attempt.Workspace = j.workspace.Name()
	}
	attempt.CopyFrom = j.copySource(u)
	return http1.Request{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host, Body: j.body, Matches: j.belongsToRequest,
		BeforeSend: func() (http.Header, error) {
			now := clock.Now()
			if err := j.checkSend(now, u); err != nil {
				return nil, err
			}
			attempt.Remaining = j.deadline.Sub(now)
			return j.Protocol.RequestHeader(j.info, attempt), nil
		},
		MaxConns: budget.MaxConnections(j.service.MaxConns(), len(j.Gossip.LiveRouters(clock.Now()))), MaxIdleAge: maxConnectionIdle(j.route),
	}
}

// belongsToRequest reports whether a response belongs to the request. A response
// without an ID is accepted only if it is not a success and the first one on its
// connection; another one may repeat an earlier refusal while the request runs.
func (j *job) belongsToRequest(status int, h http.Header, first bool) bool {
	info := j.Protocol.ParseResponse(status, h)
	return info.ID == j.info.ID || info.ID == "" && status >= http.StatusMultipleChoices && first
}

// recordFailure records a failed attempt in the upstream's health, unless the
// caller disconnected, and returns the error of the attempt.
func (j *job) recordFailure(u *directory.Upstream, err error) error {
	switch {
	case j.request.Context().Err() != nil:
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	case j.ctx.Err() != nil:
		j.Health.RecordFailure(clock.Now(), u.ID())
	case verdict.FromError(err) == verdict.NotRun:
		j.Health.RecordUnreachable(clock.Now(), u.ID())
	default:
		j.Health.RecordFailure(clock.Now(), u.ID())
		j.recordBroken(u, err)
	}
	return err
}

// handleResponse relays an upstream's response, or returns why another attempt
// is needed. cancel ends the attempt.
func (j *job) handleResponse(u *directory.Upstream, res *http1.Response, cancel func()) error {
	info := j.Protocol.ParseResponse(res.Status(), res.Header())
	j.recordLoad(u, info)
	j.recordAnnouncements(u, res.Status(), info)
	if info.OtherIncarnation || info.NotRun {
		return j.rejected(u, res, info)
	}
	if httpresponse.PromisesNotRun(res.Status()) {
		return j.unstatedRefusal(u, res)
	}
	success := res.Status() >= 200 && res.Status() < 300
	if success && !info.Signed {
		return j.recordFailure(u, verdict.Errorf(verdict.Ran, "upstream %s sent a response without a signature", u.ID()))
	}
	if success && j.route.Kind() == route.Stream {
		if contentType := res.Header().Get("Content-Type"); j.responseStarted && contentType != j.contentType {
			return j.recordFailure(u, verdict.Errorf(verdict.Ran, "upstream %s resumed the stream with content type %q", u.ID(), contentType))
		}
		return j.relayStream(u, res, cancel)
	}
	return j.bufferResponse(u, res)
}

// rejected returns the error of an attempt that the upstream did not run.
func (j *job) rejected(u *directory.Upstream, res *http1.Response, info ResponseInfo) error {
	if info.OtherIncarnation {
		j.recordGone(u)
		j.Health.RecordUnreachable(clock.Now(), u.ID())
	} else {
		j.timing.reject()
	}
	res.ReadRest(maxRejectionBody, rejectionBodyTimeout)
	err := verdict.Errorf(verdict.NotRun, "upstream %s rejected the request with status %d", u.ID(), res.Status())
	return err.WithRetryAfter(rejectionRetryAfter(j.affine()))
}

// unstatedRefusal returns the error of an attempt whose response has a status by which
// the caller would take the request for not run, although the upstream does not state
// that it did not run it.
func (j *job) unstatedRefusal(u *directory.Upstream, res *http1.Response) error {
	res.ReadRest(maxRejectionBody, rejectionBodyTimeout)
	return j.recordFailure(u, verdict.Errorf(verdict.Unknown, "upstream %s answered %d without stating that it did not run the request", u.ID(), res.Status()))
}

// recordAnnouncements records what an upstream states about itself in any
// response: that it will stop, and that it wants no requests for a time.
func (j *job) recordAnnouncements(u *directory.Upstream, status int, info ResponseInfo) {
	if info.Leaving && j.Directory.MarkLeaving(u) {
		j.log().WithField("upstream", u.ID()).Info("upstream announced that it will stop")
	}
	if info.PauseErr != nil {
		j.log().WithError(info.PauseErr).WithField("upstream", u.ID()).Warn("ignoring invalid pause of an upstream")
	}
	if info.Pause <= 0 {
		return
	}
	j.Health.RecordPause(clock.Now(), u.ID(), info.Pause)
	entry := j.log().WithFields(logrus.Fields{"upstream": u.ID(), "status": status, "pause_ms": info.Pause.Milliseconds()})
	if info.Pause > unusualPause {
		entry.Warn("upstream asked for a long pause")
		return
	}
	entry.Info("upstream asked for a pause")
}

// bufferResponse reads a response up to maxBufferedResponse and relays it.
func (j *job) bufferResponse(u *directory.Upstream, res *http1.Response) error {
	buffered, complete, err := j.readResponse(res)
	if err != nil {
		return j.recordFailure(u, verdict.Errorf(verdict.Ran, "read response of %s: %w", u.ID(), err))
	}
	if res.Status() >= 500 && j.route.Retryable() {
		if complete {
			j.fallback = buffered
		} else {
			j.account.Release(intake.Responses, buffered.reserved)
		}
		return j.recordFailure(u, verdict.Errorf(verdict.Ran, "upstream %s answered %d", u.ID(), res.Status()))
	}
	if j.responseStarted {
		return verdict.Errorf(verdict.Ran, "upstream %s answered the resume request with status %d", u.ID(), res.Status())
	}
	if !complete {
		// The rest may take longer because of a slow caller.
		j.timing.finish()
		return j.relayRemainder(u, res, buffered)
	}
	j.recordSuccess(u, res)
	j.writeResponse(buffered)
	return nil
}

// readResponse reads a response up to maxBufferedResponse, or as far as the budget for
// callers allows, and reports whether it is complete.
func (j *job) readResponse(res *http1.Response) (b *bufferedResponse, complete bool, err error) {
	b = &bufferedResponse{status: res.Status(), header: plain.EndToEnd(res.Header())}
	size := freeResponseBytes
	if n := res.Length(); n >= 0 {
		size = int(min(max(n, 1), freeResponseBytes))
	}
	b.body = make([]byte, 0, size)
	for {
		if len(b.body) == cap(b.body) && !j.growResponse(b, res.Length()) {
			return b, false, nil
		}
		n, err := res.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		if errors.Is(err, io.EOF) {
			return b, true, nil
		}
		if err != nil {
			j.account.Release(intake.Responses, b.reserved)
			return nil, false, err
		}
	}
}

// growResponse enlarges the buffer of a response whose length is known or -1, and returns
// false if it must not grow.
func (j *job) growResponse(b *bufferedResponse, length int64) bool {
	if cap(b.body) >= maxBufferedResponse {
		return false
	}
	size := max(2*cap(b.body), freeResponseBytes)
	if length > int64(cap(b.body)) {
		size = int(min(length, maxBufferedResponse))
	}
	size = min(size, maxBufferedResponse)
	// The old buffer is held until it is copied.
	if !j.account.TryReserve(intake.Responses, int64(size)) {
		return false
	}
	grown := make([]byte, len(b.body), size)
	copy(grown, b.body)
	j.account.Release(intake.Responses, b.reserved)
	b.body, b.reserved = grown, int64(size)
	return true
}

// recordSuccess records a response in the upstream's health unless it is a 5xx.
func (j *job) recordSuccess(u *directory.Upstream, res *http1.Response) {
	if res.Status() < 500 {
		j.Health.RecordSuccess(clock.Now(), u.ID())
	}
	if res.Status() < 300 {
		j.timing.finish()
		j.recordSound(res, clock.Now())
	}
}

// relayRemainder relays a long response, starting with the part that has been
// read.
func (j *job) relayRemainder(u *directory.Upstream, res *http1.Response, start *bufferedResponse) error {
	j.responseStarted, j.relayed = true, true
	copyHeader(j.writer.Header(), start.header)
	j.status = start.status
	j.writer.WriteHeader(start.status)
	chunk, reserved := start.body, start.reserved
	start.body = nil
	buffer := make([]byte, smallRelayBuffer)
	for {
		// Exclude the time of a slow caller from the stall timeout.
		j.stall.pause()
		if _, err := j.writer.Write(chunk); err != nil {
			return verdict.Errorf(verdict.Ran, "%w: %w", errCallerLeft, err)
		}
		if reserved > 0 {
			// The beginning is written. A large buffer needs fewer writes.
			chunk = nil
			j.account.Release(intake.Responses, reserved)
			if reserved = 0; j.account.TryReserve(intake.Responses, relayBufferSize) {
				buffer = make([]byte, relayBufferSize)
			}
		}
		j.stall.arm(j.stallTimeout())
		n, err := res.Read(buffer)
		chunk = buffer[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			j.recordSuccess(u, res)
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return j.recordFailure(u, verdict.Errorf(verdict.Ran, "response of %s ended early: %w", u.ID(), err))
		}
	}
}

// writeResponse sends a buffered response to the caller.
func (j *job) writeResponse(r *bufferedResponse) {
	copyHeader(j.writer.Header(), r.header)
	if j.request.Method != http.MethodHead {
		j.writer.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	j.status, j.relayed = r.status, true
	j.writer.WriteHeader(r.status)
	if _, err := j.writer.Write(r.body); err != nil {
		j.lastErr = fmt.Errorf("send response: %w", err)
	}
}

// relayStream relays the events of a stream as they arrive. The header is sent
// with the first event, so that an attempt without events can be retried. cancel ends
// the attempt.
func (j *job) relayStream(u *directory.Upstream, res *http1.Response, cancel func()) error {
	budget := intake.NewResponseBudget(j.ctx, j.account)
	defer budget.ReleaseAll()
	return j.relayEvents(u, res, http1.NewEventReader(res, budget), nil, cancel)
}

// relayEvents relays the events of a stream, beginning with first if it is not nil. If
// another upstream takes over, it sets j.next and returns errHandedOver.
func (j *job) relayEvents(u *directory.Upstream, res *http1.Response, events *http1.EventReader, first *http1.Event, cancel func()) error {
	h := newHandover(j.trySuccessor, cancel)
	err := j.relayUntilHandover(u, res, events, first, h)
	s := h.close()
	if s == nil {
		return err
	}
	if j.request.Context().Err() != nil {
		s.discard()
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	j.next = s
	j.Health.RecordFailure(clock.Now(), u.ID())
	return errHandedOver
}

func (j *job) relayUntilHandover(u *directory.Upstream, res *http1.Response, events *http1.EventReader, first *http1.Event, h *handover) error {
	flusher := http.NewResponseController(j.writer)
	for {
		e, err := nextEvent(events, &first)
		if err != nil && h.pause() {
			return errHandedOver
		}
		if errors.Is(err, io.EOF) && j.attemptBegan == 0 && !res.Delimited() {
			err = errNoEvents
		}
		if errors.Is(err, io.EOF) {
			j.Health.RecordSuccess(clock.Now(), u.ID())
			j.recordSound(res, j.attemptBegan)
			j.writeStreamHeader(res)
			return nil
		}
		if errors.Is(err, http1.ErrNoRoom) {
			return verdict.Errorf(verdict.Ran, "stream of %s given up after event %q: %w", u.ID(), j.lastEvent, err)
		}
		if err != nil {
			return j.recordFailure(u, verdict.Errorf(verdict.Ran, "stream of %s broke after event %q: %w", u.ID(), j.lastEvent, err))
		}
		if j.attemptBegan == 0 {
			j.attemptBegan = clock.Now()
			j.timing.finish()
			j.reading.firstEvent()
			j.recordCached(u)
		}
		if !e.IsComment() {
			// Exclude the time of a slow caller from the stall timeout.
			j.stall.pause()
			if h.pause() {
				// The successor sends this event too.
				return errHandedOver
			}
		}
		j.writeStreamHeader(res)
		if e.ID() != "" {
			j.lastEvent = e.ID()
		}
		j.attemptEvents++
		if _, err := j.writer.Write(e.Raw()); err != nil {
			return verdict.Errorf(verdict.Ran, "%w: %w", errCallerLeft, err)
		}
		if err := flusher.Flush(); err != nil {
			return verdict.Errorf(verdict.Ran, "%w: %w", errCallerLeft, err)
		}
		if !e.IsComment() && j.canHandOver() {
			h.arm(j.stallTimeout(), j.lastEvent)
		}
	}
}

// nextEvent returns the first event if there is one and clears it, otherwise the next
// one that arrives.
func nextEvent(events *http1.EventReader, first **http1.Event) (http1.Event, error) {
	if e := *first; e != nil {
		*first = nil
		return *e, nil
	}
	return events.Next()
}

// canHandOver reports whether another upstream may go on with the stream.
func (j *job) canHandOver() bool {
	return j.route.Resumable() && j.lastEvent != "" && j.attemptsSent < j.route.MaxAttempts()
}

// writeStreamHeader sends the header of a stream once. A resumed stream keeps
// the header of the first attempt.
func (j *job) writeStreamHeader(res *http1.Response) {
	if j.responseStarted {
		return
	}
	j.responseStarted, j.relayed = true, true
	j.firstEventDelay = clock.Since(j.arrivedAt)
	j.contentType = res.Header().Get("Content-Type")
	copyHeader(j.writer.Header(), plain.EndToEnd(res.Header()))
	j.writer.Header().Del("Content-Length")
	j.status = res.Status()
	j.writer.WriteHeader(res.Status())
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
