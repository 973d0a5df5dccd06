package intake

import (
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Purpose is what bytes are held for.
type Purpose int

const (
	// Connections are open connections.
	Connections Purpose = iota
	// Heads are request heads.
	Heads
	// Requests is what each request takes while it is served.
	Requests
	// Bodies are request bodies.
	Bodies
	// Responses is what is held of responses until callers have read it.
	Responses
	// Waiting are requests that wait for admission.
	Waiting
	purposes
)

var purposeNames = [purposes]string{"connections", "heads", "requests", "bodies", "responses", "waiting"}

// ErrFull means that the budget is used up and nobody yields. The request was not sent to
// an upstream.
var ErrFull = errors.New("the router holds too much of other requests")

// ErrYield means that this connection must yield to others.
var ErrYield = errors.New("the request was given up in favour of others")

// ErrHeadTooLarge means that a head exceeds the limit on its size.
var ErrHeadTooLarge = errors.New("request head too large")

// logInterval is the time between two log lines with the same reason. A crowd causes
// thousands of decisions a second, and log lines beyond a rate are dropped.
const logInterval = time.Second

// choiceInterval is the time for which a choice without a result stands.
const choiceInterval = 5 * time.Millisecond

// refusal is a choice without a result.
type refusal struct {
	at clock.Instant
	// started is when the request began that was refused. One that began earlier may
	// have another result.
	started clock.Instant
}

// Account is the account of bytes and connections of a process. It is safe for
// concurrent use.
type Account struct {
	limits Limits
	log    logrus.FieldLogger
	total  atomic.Int64
	used   [purposes]atomic.Int64
	// counters counts the decisions by reason.
	counters *expvar.Map
	// releasing is the number of connections that were told to yield and still hold
	// bytes.
	releasing atomic.Int64

	mu          sync.Mutex
	connections map[*Connection]struct{}
	byAddress   map[string]int
	lastSweep   clock.Instant
	// refusals holds by need the last choice without a result. Choices are repeated at
	// most every choiceInterval, since each looks at all connections.
	refusals [needs]refusal
	// lastLogs holds the time of the last log line by reason, and unlogged the number
	// of decisions since.
	lastLogs map[string]clock.Instant
	unlogged map[string]int
}

// New returns an empty account.
func New(l Limits, log logrus.FieldLogger) *Account {
	return &Account{
		limits: l, log: log, counters: new(expvar.Map).Init(), connections: map[*Connection]struct{}{},
		byAddress: map[string]int{}, lastLogs: map[string]clock.Instant{}, unlogged: map[string]int{},
	}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// limit returns the total up to which a purpose may reserve.
func (a *Account) limit(p Purpose) int64 {
	if p == Bodies || p == Waiting || p == Responses {
		return int64(largeBodyShare * float64(a.limits.Bytes))
	}
	return a.limits.Bytes
}

// take reserves n bytes if the limit of the purpose allows it.
func (a *Account) take(p Purpose, n int64) bool {
	if a.total.Add(n) > a.limit(p) {
		a.total.Add(-n)
		return false
	}
	a.used[p].Add(n)
	return true
}

// add counts n bytes, negative to release them, without regard to the limit.
func (a *Account) add(p Purpose, n int64) {
	a.total.Add(n)
	a.used[p].Add(n)
}

// Open opens the account of a new connection from an address. If the number of
// connections is at its limit, another one is closed; it returns nil if none may be.
func (a *Account) Open(now clock.Instant, address string, peer Peer) *Connection {
	c := &Connection{account: a, peer: peer, address: address}
	c.setState(now, StateNew)
	c.progress.Store(int64(now))
	for range 2 {
		sameAddress := a.limits.PerAddress > 0 && a.countOf(address) >= a.limits.PerAddress
		if !sameAddress && a.count() < a.limits.Connections {
			break
		}
		victim := a.chooseVictim(now, NeedConnection, nil, func(v *Connection) bool { return !sameAddress || v.address == address })
		if victim == nil || !victim.yield(now, NeedConnection) {
			a.decided(now, "connection_refused", logrus.Fields{"address": address})
			return nil
		}
	}
	a.mu.Lock()
	a.connections[c] = struct{}{}
	a.byAddress[address]++
	a.mu.Unlock()
	c.hold(Connections, connectionCost)
	return c
}

// Used returns the bytes that are held for callers.
func (a *Account) Used() int64 { return a.total.Load() }

// Connections returns the number of open connections.
func (a *Account) Connections() int { return a.count() }

func (a *Account) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.connections)
}

func (a *Account) countOf(address string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byAddress[address]
}

// remove removes a connection that is closed, and reports whether it was open.
func (a *Account) remove(c *Connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.connections[c]; !open {
		return false
	}
	delete(a.connections, c)
	if a.byAddress[c.address]--; a.byAddress[c.address] <= 0 {
		delete(a.byAddress, c.address)
	}
	return true
}

// chooseVictim returns the connection that yields to a need of self, which is nil for a
// new connection, or nil.
func (a *Account) chooseVictim(now clock.Instant, need Need, self *Connection, eligible func(*Connection) bool) *Connection {
	var started clock.Instant
	if self != nil {
		started = clock.Instant(self.started.Load())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.refusals[need]; self != nil && last.at != 0 && now.Sub(last.at) < choiceInterval && started >= last.started {
		return nil
	}
	list := make([]Candidate, 0, len(a.connections))
	connections := make([]*Connection, 0, len(a.connections))
	index := -1
	for c := range a.connections {
		if c == self {
			index = len(list)
		} else if !eligible(c) {
			continue
		}
		list, connections = append(list, c.candidate()), append(connections, c)
	}
	if need == NeedBody && index < 0 {
		// The connection was closed meanwhile.
		return nil
	}
	i := Choose(now, need, index, list)
	if i < 0 {
		a.refusals[need] = refusal{now, started}
		return nil
	}
	return connections[i]
}

// Sweep closes the connections that exceed the limits on time. headTime is the time for a
// head, 0 for the default. It is to be called every SweepInterval.
func (a *Account) Sweep(now clock.Instant, headTime time.Duration) {
	a.mu.Lock()
	late := a.lastSweep != 0 && now.Sub(a.lastSweep) > sweepInterval+maxSweepDelay
	a.lastSweep = now
	var list []*Connection
	for c := range a.connections {
		list = append(list, c)
	}
	a.mu.Unlock()
	if late {
		return
	}
	for _, c := range list {
		if reason := c.expired(now, headTime); reason != "" {
			c.expire(now, reason)
		}
	}
}

// SweepInterval is the time between two calls of Sweep.
const SweepInterval = sweepInterval

// Count counts a decision that was made outside this package, and logs it.
func (a *Account) Count(now clock.Instant, reason string, fields logrus.Fields) {
	a.decided(now, reason, fields)
}

// decided counts a decision and logs it, at most once in logInterval for each reason.
func (a *Account) decided(now clock.Instant, reason string, fields logrus.Fields) {
	a.counters.Add(reason, 1)
	a.mu.Lock()
	last, logged := a.lastLogs[reason]
	if logged && now.Sub(last) < logInterval {
		a.unlogged[reason]++
		a.mu.Unlock()
		return
	}
	a.lastLogs[reason] = now
	more := a.unlogged[reason]
	a.unlogged[reason] = 0
	a.mu.Unlock()
	a.log.WithFields(fields).WithFields(logrus.Fields{
		"reason": reason, "more": more, "used": a.total.Load(), "limit": a.limits.Bytes, "connections": a.count(),
	}).Warn("caller beyond the limits")
}

// Vars returns the bytes held by purpose, the limits and the decisions by reason.
func (a *Account) Vars() any {
	held := map[string]int64{}
	for p := range purposes {
		held[purposeNames[p]] = a.used[p].Load()
	}
	decisions := map[string]int64{}
	a.counters.Do(func(v expvar.KeyValue) {
		if n, ok := v.Value.(*expvar.Int); ok {
			decisions[v.Key] = n.Value()
		}
	})
	return map[string]any{
		"held": held, "used": a.total.Load(), "limit": a.limits.Bytes, "connections": a.count(),
		"max_connections": a.limits.Connections, "decisions": decisions,
	}
}
