package edge

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/front"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/host/rungroup"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/router/authority"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/budget"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/forward"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

const (
	// revocationMargin is kept before the bound on revoked keys: a watch may be
	// deaf for a second before the store's history is cut, and callers may send
	// a moment before the router looks at the time.
	revocationMargin = 1100 * time.Millisecond
	// askShare is the part of the time for a change to take effect after which a
	// router that was told nothing asks the store itself.
	askShare = 0.75
	// settleShare is the part of the drain time for which a difference from peers
	// may last; datagrams of a change are repeated for less.
	settleShare = 0.35
	// memoryShare is the part of the host's memory that the heap may use before
	// the collector works harder; the rest is for stacks and buffers.
	memoryShare = 0.6
	// graceMargin is left of the grace period for the end of the process.
	graceMargin = 600 * time.Millisecond
	// housekeepingInterval is how often state of departed upstreams is dropped.
	housekeepingInterval = 500 * time.Millisecond
	// summaryInterval is how often counters are logged.
	summaryInterval = 10 * time.Second
)

// Edge is one router.
type Edge struct {
	settings  *Settings
	store     Store
	log       logrus.FieldLogger
	authority *authority.Authority
	directory *directory.Directory
	board     *digest.Board
	health    *balance.Health
	cold      *budget.Cold
	holders   *prefix.Holders
	pools     *http1.Pools
	metrics   *admin.Metrics
	counters  *expvar.Map
	gateway   *forward.Gateway
	server    *front.Server
	orders    *feed
	upstreams *feed
	relay     *relay
	start     *forward.Start
	socket    *net.UDPConn
	leaving   context.Context
	// listed is set once the upstreams have been listed.
	listed atomic.Bool
	// peersListed is set once the other routers have been listed.
	peersListed atomic.Bool
	// failures counts the failed calls to the store in a row.
	failures atomic.Int64

	mu   sync.Mutex
	lost map[string]bool
}

// New returns a router that is not running yet.
func New(s *Settings, store Store, protocol forward.Protocol, log logrus.FieldLogger) *Edge {
	e := &Edge{
		settings: s, store: store, log: log,
		authority: authority.New(s.Revocation() - revocationMargin),
		directory: directory.New(),
		board:     digest.NewBoard(s.Name(), uint64(time.Now().UnixNano())),
		health:    balance.NewHealth(),
		holders:   prefix.New(s.ReuseWindow()),
		pools:     http1.NewPools(),
		metrics:   admin.NewMetrics(),
		counters:  new(expvar.Map).Init(),
		lost:      map[string]bool{},
		start:     forward.NewStart(clock.Now()),
		orders:    newFeed(digest.Orders, time.Duration(askShare*float64(s.ConfigInForce())), 0),
		upstreams: newFeed(digest.Upstreams, time.Duration(askShare*float64(s.Drain())), time.Duration(settleShare*float64(s.Drain()))),
	}
	over, slack := s.ColdStart()
	e.cold = budget.NewCold(s.Name(), over, slack)
	e.gateway = forward.New(forward.Parts{
		Protocol: protocol, Authority: e.authority, Directory: e.directory, Board: e.board, Health: e.health,
		Balancer: balance.New(s.LoadFactor()), Retry: budget.NewRetry(s.Retries()), Cold: e.cold, Pools: e.pools, Holders: e.holders,
		Observer: e.metrics, Log: log, FailureDomain: s.FailureDomain(), Regions: s.Regions(),
		Start: e.start, Crowded: e.crowded,
		TimeLeft: func() (time.Duration, bool) { return e.server.TimeLeft() },
	})
	e.server = front.New(e.gateway, e.idleLimit)
	e.relay = newRelay(e.orders)
	return e
}

// Run serves until ctx is done and all requests in progress have ended.
func (e *Edge) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(e.settings.MemoryMB()) * (1 << 20)))
	e.leaving = ctx
	address, err := net.ResolveUDPAddr("udp4", e.settings.Peers())
	if err != nil {
		return fmt.Errorf("address for peers: %w", err)
	}
	if e.socket, err = net.ListenUDP("udp4", address); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	defer e.socket.Close()
	// The members outlive ctx until the last request has ended.
	g := rungroup.New(context.WithoutCancel(ctx))
	g.Go("orders", e.followOrders)
	g.Go("upstreams", e.followUpstreams)
	g.Go("peers", e.register)
	g.Go("receive digests", e.receiveDigests)
	g.Go("send digests", e.sendDigests)
	g.Go("housekeeping", e.housekeeping)
	g.Go("relay", e.serveStatus(e.settings.Peers(), rpc.NewRelayServer(e.relay)))
	g.Go("readiness", e.serveStatus(e.settings.Readiness(), http.HandlerFunc(e.ready)))
	g.Go("metrics", e.serveStatus(e.settings.Metrics(), http.HandlerFunc(e.serveMetrics)))
	g.Go("callers", func(context.Context) error {
		defer g.Stop()
		return e.server.Serve(ctx, e.settings.Callers(), e.settings.Grace()-graceMargin)
	})
	e.log.WithFields(logrus.Fields{"router": e.settings.Name(), "domain": e.settings.FailureDomain()}).Info("started")
	err = g.Wait()
	e.log.WithError(err).Info("stopped")
	return err
}

// learned ends the start of the router once it knows a configuration and the
// upstreams.
func (e *Edge) learned() {
	if e.listed.Load() && e.authority.Table() != nil {
		e.start.Complete()
	}
}

func (e *Edge) idleLimit() time.Duration {
	if t := e.authority.Table(); t != nil {
		return t.Limits().IdleTimeout
	}
	return 0
}

// ready answers the balancer: 200 while requests can be served.
func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Err() != nil || !e.listed.Load() || !e.authority.Serving(clock.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics answers with all counters and histograms as JSON.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	m := new(expvar.Map).Init()
	m.Set("requests", e.metrics)
	m.Set("counters", e.counters)
	m.Set("store_calls", expvar.Func(func() any { return e.store.Calls() }))
	m.Set("store_bytes", expvar.Func(func() any { return e.store.Received() }))
	m.Set("upstream_connections", expvar.Func(func() any { return e.pools.Dials() }))
	m.Set("routers", expvar.Func(func() any { return len(e.board.Routers(clock.Now())) }))
	m.Set("config_age_ms", expvar.Func(func() any { return e.authority.Age(clock.Now()).Milliseconds() }))
	w.Header().Set("Content-Type", "application/json")
	// The reader may have gone; there is nobody to tell.
	_, _ = fmt.Fprintln(w, m.String())
}

// serveStatus returns a member that serves one handler.
func (e *Edge) serveStatus(address string, h http.Handler) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", address, err)
		}
		return ctx.Err()
	}
}

// housekeeping drops what belongs to departed upstreams.
func (e *Edge) housekeeping(ctx context.Context) error {
	reported := clock.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, housekeepingInterval)
		now := clock.Now()
		if now.Sub(reported) >= summaryInterval {
			reported = now
			e.summarize(now)
		}
		e.logChanges(e.directory.Tick(now), 0)
		ids := e.directory.IDs()
		e.pools.Retain(now, ids)
		e.health.Keep(ids)
		e.cold.Keep(ids)
	}
	return ctx.Err()
}

// summarize logs counters, which tell the volume of control traffic.
func (e *Edge) summarize(now clock.Instant) {
	f := logrus.Fields{"routers": len(e.board.Routers(now)), "dials": e.pools.Dials()}
	e.counters.Do(func(v expvar.KeyValue) { f[v.Key] = v.Value.String() })
	f["store_bytes"] = e.store.Received()
	for path, n := range e.store.Calls() {
		f["calls "+path] = n
	}
	e.log.WithFields(f).Info("summary")
}

func (e *Edge) logChanges(changes []directory.Change, revision uint64) {
	for _, c := range changes {
		e.log.WithFields(logrus.Fields{
			"upstream": c.ID, "change": c.What, "service": c.Entry.Service, "domain": c.Entry.FailureDomain,
			"born": c.Entry.Born, "heartbeat": c.Entry.Heartbeat, "cold_ms": c.Entry.ColdFor.Milliseconds(), "revision": revision,
		}).Info("upstream changed")
	}
}

// dependency logs the loss and the return of a use of the store.
func (e *Edge) dependency(name string, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, ErrCompacted) {
		e.counters.Add("store_"+name+"_restarted", 1)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if (err != nil) == e.lost[name] {
		return
	}
	e.lost[name] = err != nil
	entry := e.log.WithFields(logrus.Fields{"dependency": "store", "use": name, "config_age_ms": e.authority.Age(clock.Now()).Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("dependency lost")
		return
	}
	entry.Info("dependency regained")
}
