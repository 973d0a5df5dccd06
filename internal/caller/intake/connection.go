package intake

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// releaseWait is how long a reservation waits until a connection that yields has
	// released its bytes, and releasePoll the time between two attempts.
	releaseWait = 250 * time.Millisecond
	releasePoll = 5 * time.Millisecond
)

// Peer is the network side of a connection.
type Peer interface {
	// Abort closes the connection.
	Abort()
	// Interrupt makes reads from the connection fail, so that its request ends with a
	// response.
	Interrupt()
}

// Connection is the account of one connection. Its methods do nothing on nil, so that
// handlers work without an account. Received, Begin, End and the reservations are for the
// goroutine that serves the connection; the others are safe for concurrent use.
type Connection struct {
	account *Account
	peer    Peer
	address string

	// mu keeps a request that is complete from being closed, and one that was told to
	// yield from being complete.
	mu       sync.Mutex
	state    atomic.Int32
	started  atomic.Int64
	progress atomic.Int64
	held     [purposes]atomic.Int64
	// yielding is set once the connection must yield to others, and tooSlow once it is
	// closed for its lack of progress. releasing is set until it has released its bytes.
	yielding, tooSlow, releasing atomic.Bool

	headBytes, headLines int64
	// received is the number of bytes of the body in the current period, which began at
	// periodStart.
	received    atomic.Int64
	periodStart atomic.Int64
}

func (c *Connection) setState(now clock.Instant, s State) {
	c.started.Store(int64(now))
	c.state.Store(int32(s))
}

// State returns what the connection is doing.
func (c *Connection) State() State { return State(c.state.Load()) }

func (c *Connection) candidate() Candidate {
	return Candidate{
		State: c.State(), Progress: clock.Instant(c.progress.Load()), Started: clock.Instant(c.started.Load()),
		Bytes: c.held[Bodies].Load(), Yielding: c.yielding.Load(),
	}
}

// hold counts n bytes, negative to release them, without regard to the limit.
func (c *Connection) hold(p Purpose, n int64) {
	c.held[p].Add(n)
	c.account.add(p, n)
}

// Received records bytes that arrived on the connection. maxHead is the largest head in
// bytes. An error means that the connection must be closed.
func (c *Connection) Received(now clock.Instant, b []byte, maxHead int64) error {
	if c == nil {
		return nil
	}
	c.progress.Store(int64(now))
	switch c.State() {
	case StateNew, StateIdle:
		if err := c.advance(now, StateHead); err != nil {
			return err
		}
		c.headBytes, c.headLines = 0, 0
	case StateHead:
	default:
		c.received.Add(int64(len(b)))
		return nil
	}
	c.headBytes += int64(len(b))
	c.headLines += int64(bytes.Count(b, []byte{'\n'}))
	if c.headBytes > maxHead {
		c.account.decided(now, "head_too_large", c.fields(now))
		return ErrHeadTooLarge
	}
	cost := headByteCost*c.headBytes + headLineCost*c.headLines - freeHeadBytes
	if missing := cost - c.held[Heads].Load(); missing > 0 {
		return c.reserve(now, NeedHead, Heads, (missing+headStep-1)/headStep*headStep)
	}
	return nil
}

// HeadComplete records that a request was received up to its body. An error means that
// the connection is closed in favour of others.
func (c *Connection) HeadComplete(now clock.Instant) error {
	if c == nil {
		return nil
	}
	return c.advance(now, StateServing)
}

// Begin reserves what serving a request takes. After an error the request is refused.
func (c *Connection) Begin(now clock.Instant) error {
	if c == nil {
		return nil
	}
	return c.reserve(now, NeedRequest, Requests, requestCost)
}

// advance changes the state of a connection unless it must yield.
func (c *Connection) advance(now clock.Instant, s State) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielding.Load() || c.tooSlow.Load() {
		return ErrYield
	}
	c.setState(now, s)
	return nil
}

// beginBody records that a body is being received.
func (c *Connection) beginBody(now clock.Instant) error {
	c.received.Store(0)
	c.periodStart.Store(int64(now))
	c.progress.Store(int64(now))
	return c.advance(now, StateBody)
}

// End records the end of the handling of a request and releases what it held. rest is set
// if its body was not read to the end.
func (c *Connection) End(now clock.Instant, rest bool) {
	if c == nil {
		return
	}
	for _, p := range []Purpose{Requests, Bodies, Responses, Waiting} {
		c.Release(p, c.held[p].Load())
	}
	c.released()
	if rest {
		c.progress.Store(int64(now))
		c.setState(now, StateDraining)
	}
}

// Idle records that the connection waits for the next request.
func (c *Connection) Idle(now clock.Instant) {
	if c == nil {
		return
	}
	c.Release(Heads, c.held[Heads].Load())
	c.progress.Store(int64(now))
	c.setState(now, StateIdle)
}

// Close closes the account. It may be called more than once. What a request holds is
// released at its end.
func (c *Connection) Close() {
	if c == nil || !c.account.remove(c) {
		return
	}
	c.Release(Connections, c.held[Connections].Load())
	c.Release(Heads, c.held[Heads].Load())
	if c.State() != StateBody {
		c.released()
	}
}

// released records that a connection that had to yield has released its bytes.
func (c *Connection) released() {
	if c.releasing.Swap(false) {
		c.account.releasing.Add(-1)
	}
}

// Release releases n reserved bytes.
func (c *Connection) Release(p Purpose, n int64) {
	if c != nil && n != 0 {
		c.hold(p, -n)
	}
}

// Hold counts n bytes without regard to the limit, for what a request that was sent to an
// upstream needs in any case.
func (c *Connection) Hold(p Purpose, n int64) {
	if c != nil && n != 0 {
		c.hold(p, n)
	}
}

// TryReserve reserves n bytes if they fit within the limit.
func (c *Connection) TryReserve(p Purpose, n int64) bool {
	if c == nil {
		return true
	}
	if !c.account.take(p, n) {
		return false
	}
	c.held[p].Add(n)
	return true
}

// Reserve reserves n bytes for a request that was not sent to an upstream yet. If they do
// not fit, another connection yields; the error is ErrFull if none does.
func (c *Connection) Reserve(now clock.Instant, p Purpose, n int64) error {
	if c == nil {
		return nil
	}
	need := NeedRequest
	if p == Bodies || p == Waiting {
		need = NeedBody
	}
	return c.reserve(now, need, p, n)
}

func (c *Connection) reserve(now clock.Instant, need Need, p Purpose, n int64) error {
	for end := now.Add(releaseWait); ; {
		if c.yielding.Load() {
			return ErrYield
		}
		if c.TryReserve(p, n) {
			return nil
		}
		if now > end {
			break
		}
		victim := c.account.chooseVictim(now, need, c, func(*Connection) bool { return true })
		if victim == nil && c.account.releasing.Load() == 0 {
			break
		}
		if victim != nil {
			victim.yield(now, need)
		}
		time.Sleep(releasePoll)
		now = clock.Now()
	}
	f := c.fields(now)
	f["for"] = purposeNames[p]
	c.account.decided(now, purposeNames[p]+"_refused", f)
	return ErrFull
}

// yield ends the connection in favour of another one, and returns false if its request
// is complete by now. A request whose body is being read gets a response, unless the
// connection itself is needed.
func (c *Connection) yield(now clock.Instant, need Need) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.State()
	if state == StateServing {
		return false
	}
	if c.yielding.Swap(true) {
		return true
	}
	c.releasing.Store(true)
	c.account.releasing.Add(1)
	f := c.fields(now)
	f["for"] = needNames[need]
	c.account.decided(now, "closed_"+state.String(), f)
	if state == StateBody && need != NeedConnection {
		c.peer.Interrupt()
	} else {
		c.peer.Abort()
	}
	return true
}

func (c *Connection) expired(now clock.Instant, headTime time.Duration) string {
	start := clock.Instant(c.periodStart.Load())
	reason := Expired(now, c.candidate(), headTime, start, c.received.Load())
	if reason == "" && c.State() == StateBody && now.Sub(start) >= bodyPeriod {
		c.periodStart.Store(int64(now))
		c.received.Store(0)
	}
	return reason
}

// expire ends a connection that exceeds a limit on time.
func (c *Connection) expire(now clock.Instant, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.State() == StateServing || c.tooSlow.Swap(true) {
		return
	}
	c.account.decided(now, reason, c.fields(now))
	if c.State() == StateBody {
		c.peer.Interrupt()
		return
	}
	c.peer.Abort()
}

// Yielding reports whether the connection must yield to others.
func (c *Connection) Yielding() bool { return c != nil && c.yielding.Load() }

// fields describes the connection for the log.
func (c *Connection) fields(now clock.Instant) logrus.Fields {
	held := int64(0)
	for p := range purposes {
		held += c.held[p].Load()
	}
	return logrus.Fields{
		"address": c.address, "state": c.State().String(), "held": held,
		"progress_age_ms": now.Sub(clock.Instant(c.progress.Load())).Milliseconds(),
		"state_age_ms":    now.Sub(clock.Instant(c.started.Load())).Milliseconds(),
	}
}
