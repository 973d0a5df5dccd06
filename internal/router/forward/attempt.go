package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/budget"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

// maxReply bounds what is read of an answer before it is relayed, in bytes. A
// longer answer is relayed as it comes, so it cannot be replaced any more.
const maxReply = 1 << 20

// relayBuffer is the size of the pieces in which a long answer is relayed, in
// bytes.
const relayBuffer = 32 << 10

// reply is a complete answer of an upstream.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// try sends the request to one upstream. It returns nil once the caller has
// its final answer.
func (j *job) try() error {
	if j.remaining() < leastRemaining {
		return verdict.New(verdict.NotRun, errNoTime)
	}
	u, err := j.pick()
	if err != nil {
		return err
	}
	j.tried[u.ID()] = true
	j.upstream = u.ID()
	if j.table.NeedsKey(j.route) && !j.Authority.Fresh(clock.Now()) {
		return verdict.Errorf(verdict.NotRun, "configuration not confirmed")
	}
	j.Board.Start(u.ID())
	defer j.Board.End(u.ID())
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	j.stall = time.AfterFunc(j.patience(), func() { cancel(errStalled) })
	defer j.stall.Stop()
	res, err := j.Pools.Get(u.ID(), u.Born(), u.Address()).Do(ctx, j.attempt(u))
	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			j.sent++
		}
		return j.failed(u, err)
	}
	defer res.Close()
	j.sent++
	return j.answer(u, res)
}

// attempt returns the request as the upstream gets it.
func (j *job) attempt(u *directory.Upstream) http1.Request {
	a := Attempt{Upstream: u, Remaining: j.remaining(), Rank: j.workspace.Priority(j.route), ResumeAfter: j.lastEvent}
	if j.workspace != nil {
		a.Workspace = j.workspace.Name()
	}
	a.CopyFrom = j.source(u)
	return http1.Request{
		Method: j.request.Method, Target: j.request.RequestURI, Host: j.request.Host,
		Header: j.Protocol.Request(j.call, a), Body: j.body, Matches: j.owns,
		MaxConns: budget.Connections(j.service.MaxConns(), len(j.Board.Routers(clock.Now()))), MaxIdleAge: freshness(j.route),
	}
}

// owns reports whether an answer belongs to the request. An answer without an
// id can only be a failure.
func (j *job) owns(status int, h http.Header) bool {
	a := j.Protocol.Answer(status, h)
	return a.ID == j.call.ID || a.ID == "" && status >= http.StatusMultipleChoices
}

// failed notes a failure of the connection.
func (j *job) failed(u *directory.Upstream, err error) error {
	switch {
	case j.request.Context().Err() != nil:
		return fmt.Errorf("%w: %w", errLeft, err)
	case j.ctx.Err() != nil:
		j.Health.Failed(clock.Now(), u.ID())
	case verdict.Of(err) == verdict.NotRun:
		j.Health.Unreachable(clock.Now(), u.ID())
	default:
		j.Health.Failed(clock.Now(), u.ID())
	}
	return err
}

// answer relays an upstream's answer, or returns why another attempt is needed.
func (j *job) answer(u *directory.Upstream, res *http1.Response) error {
	a := j.Protocol.Answer(res.Status(), res.Header())
	if a.Load > 0 {
		j.Board.State(clock.Now(), u.Key(), a.Load)
		if j.bound > 0 && a.Load > j.bound {
			j.Crowded(u.Key())
		}
	}
	if a.OtherIncarnation || a.NotRun {
		if a.OtherIncarnation {
			j.Health.Unreachable(clock.Now(), u.ID())
		} else if a.RetryAfter > 0 {
			j.Health.Busy(clock.Now(), u.ID(), a.RetryAfter)
		}
		// Reading the rest of the body keeps the connection usable.
		_, _ = io.Copy(io.Discard, io.LimitReader(res, maxReply))
		rejected := verdict.Errorf(verdict.NotRun, "upstream %s rejected the request with status %d", u.ID(), res.Status())
		return rejected.WithRetryAfter(comeBack(j.affine()))
	}
	success := res.Status() >= 200 && res.Status() < 300
	if success && !a.Signed {
		return j.failed(u, verdict.Errorf(verdict.Ran, "upstream %s sent an answer without signature", u.ID()))
	}
	if success && j.route.Kind() == route.Stream {
		return j.stream(u, res)
	}
	return j.whole(u, res)
}

// whole reads an answer, up to a limit, and relays it.
func (j *job) whole(u *directory.Upstream, res *http1.Response) error {
	body, err := io.ReadAll(io.LimitReader(res, maxReply))
	if err != nil {
		return j.failed(u, verdict.Errorf(verdict.Ran, "read answer of %s: %w", u.ID(), err))
	}
	r := &reply{status: res.Status(), header: plain.EndToEnd(res.Header()), body: body}
	if res.Status() >= 500 && j.route.MayRepeat() {
		if len(body) < maxReply {
			j.held = r
		}
		return j.failed(u, verdict.Errorf(verdict.Ran, "upstream %s answered %d", u.ID(), res.Status()))
	}
	if j.begun {
		return verdict.Errorf(verdict.Ran, "upstream %s answered the resumption with %d", u.ID(), res.Status())
	}
	if len(body) == maxReply {
		return j.rest(u, res, r)
	}
	j.succeeded(u, res)
	j.relay(r)
	return nil
}

// succeeded notes an answer that is no failure of the upstream's own.
func (j *job) succeeded(u *directory.Upstream, res *http1.Response) {
	if res.Status() < 500 {
		j.Health.OK(clock.Now(), u.ID())
	}
}

// rest relays a long answer, of which the beginning has been read, as it comes.
func (j *job) rest(u *directory.Upstream, res *http1.Response, beginning *reply) error {
	j.begun = true
	copyHeader(j.writer.Header(), beginning.header)
	j.status = beginning.status
	j.writer.WriteHeader(beginning.status)
	chunk := beginning.body
	buffer := make([]byte, relayBuffer)
	for {
		// A slow caller must not count as a silent upstream.
		j.stall.Stop()
		if _, err := j.writer.Write(chunk); err != nil {
			return verdict.Errorf(verdict.Ran, "%w: %w", errLeft, err)
		}
		j.stall.Reset(j.patience())
		n, err := res.Read(buffer)
		chunk = buffer[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			j.succeeded(u, res)
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return j.failed(u, verdict.Errorf(verdict.Ran, "answer of %s broke off: %w", u.ID(), err))
		}
	}
}

// relay sends a complete answer to the caller.
func (j *job) relay(r *reply) {
	copyHeader(j.writer.Header(), r.header)
	if j.request.Method != http.MethodHead {
		j.writer.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	j.status = r.status
	j.writer.WriteHeader(r.status)
	if _, err := j.writer.Write(r.body); err != nil {
		j.failure = fmt.Errorf("send answer: %w", err)
	}
}

// stream relays the events of a stream as they come. The header goes out with
// the first event, so that an attempt without one may be repeated.
func (j *job) stream(u *directory.Upstream, res *http1.Response) error {
	flusher := http.NewResponseController(j.writer)
	events := http1.NewEventReader(res)
	seen := false
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			j.Health.OK(clock.Now(), u.ID())
			j.begin(res)
			return nil
		}
		if err != nil {
			return j.failed(u, verdict.Errorf(verdict.Ran, "stream of %s broke after event %q: %w", u.ID(), j.lastEvent, err))
		}
		if !seen {
			seen = true
			j.learn(u)
		}
		j.begin(res)
		// A slow caller must not count as a silent upstream.
		j.stall.Stop()
		if e.ID() != "" {
			j.lastEvent = e.ID()
		}
		if _, err := j.writer.Write(e.Raw()); err != nil {
			return verdict.Errorf(verdict.Ran, "%w: %w", errLeft, err)
		}
		if err := flusher.Flush(); err != nil {
			return verdict.Errorf(verdict.Ran, "%w: %w", errLeft, err)
		}
		j.stall.Reset(j.patience())
	}
}

// begin sends the header of a stream once; a resumed stream keeps the first.
func (j *job) begin(res *http1.Response) {
	if j.begun {
		return
	}
	j.begun = true
	j.firstEvent = clock.Since(j.arrived)
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
