package daemon

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/chat"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/partstore"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/crash"
	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

const (
	// crashCheckTimeout limits the check whether an engine still accepts connections;
	// the next attempt waits for it.
	crashCheckTimeout = 100 * time.Millisecond
	// factsInterval is the minimum time between two rounds of messages with facts, and
	// factsFanout how many routers each reaches. They pass on what is new to them.
	factsInterval = 50 * time.Millisecond
	factsFanout   = 8
	// factsTimeout limits the sending of one message.
	factsTimeout = 500 * time.Millisecond
	// maxFactsMessage limits one message in bytes.
	maxFactsMessage = 32 << 10
)

// partGuard keeps chats with messages on which engines crash from the engines. It
// implements chat.PartGuard.
type partGuard struct {
	daemon     *Daemon
	crashes    *crash.Detector
	quarantine *quarantine.Quarantine
	saver      *partstore.Saver
	refusals   *expvar.Int
}

func newPartGuard(d *Daemon) *partGuard {
	g := &partGuard{daemon: d, crashes: crash.NewDetector(), quarantine: quarantine.New(), refusals: new(expvar.Int)}
	g.saver = partstore.New(g.quarantine, g, g)
	d.vars.Set("quarantine", expvar.Func(g.state))
	d.vars.Set("quarantine_refusals", g.refusals)
	return g
}

// state returns the quarantined sets for the metrics.
func (g *partGuard) state() any {
	now := clock.Now()
	list := []map[string]any{}
	for _, e := range g.quarantine.Entries() {
		list = append(list, e.Fields(now))
	}
	return list
}

// Check returns an error if a new chat with these messages is refused.
func (g *partGuard) Check(model string, parts []uint64) error {
	now := clock.Now()
	if g.quarantine.Empty(now) {
		return nil
	}
	if e, found := g.quarantine.Check(now, partsOf(model, parts), g.mayProbe); found {
		return g.refuse(now, e, model, parts)
	}
	return nil
}

// CheckRetry does so for an attempt after the first.
func (g *partGuard) CheckRetry(model string, parts []uint64) error {
	now := clock.Now()
	if g.quarantine.Empty(now) {
		return nil
	}
	if e, found := g.quarantine.Forbids(now, partsOf(model, parts)); found {
		return g.refuse(now, e, model, parts)
	}
	return nil
}

// refuse counts and logs a refusal and returns its error, which names the messages by
// their numbers.
func (g *partGuard) refuse(now clock.Instant, e quarantine.Entry, model string, parts []uint64) error {
	g.refusals.Add(1)
	g.daemon.log.WithFields(e.Fields(now)).WithFields(logrus.Fields{"event": "quarantine-refusal", "model": model}).Info("chat has quarantined messages")
	var numbers []string
	for i, hash := range parts {
		if slices.Contains(e.Parts(), quarantine.NewPart(model, partName(hash))) {
			numbers = append(numbers, strconv.Itoa(i+1))
		}
	}
	err := verdict.Errorf(verdict.NotRun, "engines crash on message %s of this chat (%d crashes); it was not executed", strings.Join(numbers, " with "), e.Crashes())
	return err.WithStatus(http.StatusServiceUnavailable).WithRetryAfter(e.RetryAfter(now))
}

func partName(hash uint64) string { return strconv.FormatUint(hash, 16) }

func partsOf(model string, hashes []uint64) []quarantine.Part {
	names := make([]string, len(hashes))
	for i, hash := range hashes {
		names[i] = partName(hash)
	}
	return quarantine.NewParts(model, names)
}

// mayProbe reports whether this router is the one that probes a quarantined set.
func (g *partGuard) mayProbe(key string) bool {
	self, all := g.QuarantineRouters()
	return rendezvous.First(rendezvous.Key(key), all) == self
}

// ConnectionLost checks whether an engine that ended a connection has crashed. An
// engine that leaves ends without a crash.
func (g *partGuard) ConnectionLost(ctx context.Context, a chat.Attempt) {
	if h, ok := g.daemon.Lookup(a.Upstream); !ok || h.Draining() {
		return
	}
	id := prefix.EngineIDOf(a.Upstream, 0)
	if !g.crashes.RecordBroken(clock.Now(), id, a.Upstream, a.Model, crash.Request{ID: a.RequestID, Parts: partsOf(a.Model, a.Parts)}) {
		return
	}
	// The caller may have left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", a.Address)
	switch {
	case err == nil:
		_ = c.Close()
		g.crashes.Alive(id)
	case errors.Is(err, syscall.ECONNREFUSED):
		if r, ok := g.crashes.Gone(clock.Now(), id); ok {
			g.recordCrash(r)
		}
	}
}

// recordCrash logs a crash with the chats of this router that were in progress, and
// takes their messages as evidence.
func (g *partGuard) recordCrash(r crash.Report) {
	g.daemon.log.WithFields(logrus.Fields{
		"event": "engine-crash", "upstream": r.Upstream(), "model": r.Service(), "age_ms": clock.Since(r.At()).Milliseconds(),
		"in_progress": len(r.Requests()), "requests": r.Text(),
	}).Warn("engine crashed")
	// The incarnation is unknown; the time tells the crashes of an engine apart.
	id := quarantine.Crash(prefix.EngineIDOf(r.Upstream(), int64(r.At())))
	g.quarantine.AddCrash(clock.Now(), id, r.At(), r.Upstream(), r.Parts())
}

// expire drops what is too old.
func (g *partGuard) expire() {
	now := clock.Now()
	g.crashes.Expire(now)
	g.quarantine.Expire(now)
}

// Succeeded records that the response to a chat began at a time and is complete.
func (g *partGuard) Succeeded(model string, parts []uint64, began time.Time) {
	now := clock.Now()
	g.quarantine.RecordSuccess(now, now.Add(-time.Since(began)), partsOf(model, parts))
}

// receive adds the facts in a message of a peer.
func (g *partGuard) receive(message []byte) {
	facts, err := quarantine.Decode(message)
	if err != nil {
		g.daemon.log.WithFields(logrus.Fields{"event": "facts", "error": err}).Warn("ignoring malformed facts of a router")
		return
	}
	g.quarantine.Merge(clock.Now(), facts)
}

// run sends new facts to some routers and logs the changes of the quarantined sets.
func (g *partGuard) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.quarantine.Wake():
		}
		now := clock.Now()
		changes := g.quarantine.TakeChanges()
		if len(changes) > 0 {
			g.saver.Changed()
		}
		for _, c := range changes {
			g.daemon.log.WithFields(c.Entry.Fields(now)).WithFields(logrus.Fields{
				"event": "quarantine", "change": c.Kind, "from_peer": c.FromPeer,
			}).Warn("quarantine of messages changed")
		}
		if facts := g.quarantine.TakeNews(now); len(facts) > 0 {
			g.spread(ctx, facts)
		}
		clock.Sleep(ctx, factsInterval)
	}
	return ctx.Err()
}

// spread sends facts to some live routers.
func (g *partGuard) spread(ctx context.Context, facts []quarantine.Fact) {
	messages, err := quarantine.Encode(facts, nil, maxFactsMessage)
	if err != nil {
		g.daemon.log.WithFields(logrus.Fields{"event": "facts", "error": err}).Warn("cannot encode facts for routers")
		return
	}
	peers := g.peers()
	sent := make(chan error, len(peers))
	for _, p := range peers {
		go func() { sent <- g.send(ctx, p.Address, messages) }()
	}
	for range peers {
		if err := <-sent; err != nil {
			g.daemon.log.WithFields(logrus.Fields{"event": "facts", "error": err}).Debug("facts not sent")
		}
	}
}

// peers returns up to factsFanout live routers, chosen at random.
func (g *partGuard) peers() []membership.Peer {
	var peers []membership.Peer
	for _, p := range g.daemon.members.Live(time.Now()) {
		if p.ID != g.daemon.settings.ID() {
			peers = append(peers, p)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), factsFanout)]
}

func (g *partGuard) send(ctx context.Context, address string, messages [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, factsTimeout)
	defer cancel()
	for _, m := range messages {
		if err := g.daemon.peerClients.SendFacts(ctx, address, m); err != nil {
			return err
		}
	}
	return nil
}

// snapshot returns the quarantined sets as messages, none if there are none. Each
// exchange with a peer carries them, so that one that has just started learns of them.
func (g *partGuard) snapshot() [][]byte {
	messages, err := quarantine.Encode(g.quarantine.Snapshot(clock.Now()), nil, maxFactsMessage)
	if err != nil {
		g.daemon.log.WithFields(logrus.Fields{"event": "facts", "error": err}).Warn("cannot encode facts for routers")
	}
	return messages
}
