package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/rungroup"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
	"github.com/hemlockcroft/hemlockcroft/internal/router/grant"
	"github.com/hemlockcroft/hemlockcroft/internal/router/member"
	"github.com/hemlockcroft/hemlockcroft/internal/router/owner"
	"github.com/hemlockcroft/hemlockcroft/internal/router/peer"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/pool"
)

// listInterval is the time between two polls of the host list.
const listInterval = 2 * time.Second

// maxHandovers is more upstreams than one router owns at the design size, about
// 12, so that the control goroutine does not wait for the sender.
const maxHandovers = 1024

// Daemon is one router.
type Daemon struct {
	settings *settings.Settings
	log      *logrus.Entry
	boot     string
	vars     *expvar.Map
	ring     *admin.Ring
	metrics  *admin.Metrics

	poller  *hosts.Poller
	store   *etcd.Client
	dialer  *peer.Clients
	peers   *expvar.Map // bytes and calls between routers
	pools   *pool.Pools
	engines *engine.Client
	table   *owner.Table
	grants  *grant.Client

	holdings holdings

	// Used on the control goroutine, but for the methods that their packages
	// declare safe for concurrent use.
	members *member.Members
	claims  *claim.Claims

	listTime time.Time

	// Used by runConfig only.
	stored stored

	work      chan func(now time.Time)
	exchanges chan exchanged
	fetches   chan newer
	handovers chan handover
	config    atomic.Pointer[fleet.Document]
	// receivers and live are views that requests share.
	receivers atomic.Pointer[receivers]
	live      atomic.Pointer[liveRouters]
	leaving   atomic.Bool
	wasReady  atomic.Bool // at some time since the start
	open      atomic.Int64
}

// Run runs a router until ctx ends, then stops it without cutting off a
// request.
func Run(ctx context.Context, s *settings.Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// New assembles a router that does nothing yet.
func New(s *settings.Settings) (*Daemon, error) {
	empty, err := fleet.Parse(nil)
	if err != nil {
		return nil, fmt.Errorf("built-in configuration: %w", err)
	}
	d := &Daemon{
		settings: s, log: newLog(s.LogLevel(), s.ID()), boot: rand.Text()[:bootLength], vars: new(expvar.Map).Init(),
		ring: admin.NewRing(s.ExplainEvents()), metrics: admin.NewMetrics(), work: make(chan func(time.Time)),
		exchanges: make(chan exchanged), fetches: make(chan newer, 1), handovers: make(chan handover, maxHandovers),
	}
	d.config.Store(empty)
	d.peers = new(expvar.Map).Init()
	d.vars.Set("control", d.peers)
	d.vars.Set("requests", d.metrics)
	d.poller = hosts.NewPoller(s.Hosts(), listInterval, &http.Client{Timeout: listInterval})
	d.store = newStore(s, d.vars)
	d.dialer = peer.New(s.Routers(), service{d}, d.peers, func() bool { return d.members.RotatesTargets() })
	d.pools = pool.New()
	d.engines = engine.New(d.pools, engine.WithReadTimeout(s.EngineSilence()))
	d.holdings.held = map[string]holding{}
	d.members = member.New(member.Self{
		ID: s.ID(), Boot: d.boot, Address: s.Routers(), FailureDomain: s.FailureDomain(), Region: s.Region(),
	})
	d.members.SetFreshnessLimit(s.Freshness())
	d.claims = d.newClaims()
	d.table = owner.New(s.ID(), d.members, policies{d}, d.claims)
	d.grants = grant.New(s.ID(), d, d.dialer, d.ring)
	return d, nil
}

// bootLength is the length of a boot identity in characters of 5 bits. It tells
// apart the starts of one router only and is part of each exchange.
const bootLength = 8

// servers are the listening sides of a daemon.
type servers struct {
	callers, routers, operators *http.Server
}

// Run serves until ctx ends and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	s := servers{
		callers:   d.callerServer(),
		routers:   peer.Server(d.settings.Routers(), service{d}, d.peers),
		operators: &http.Server{Addr: d.settings.Operators(), Handler: admin.Handler(d, d.ring, d.vars), ReadHeaderTimeout: 5 * time.Second},
	}
	// The group outlives ctx: it goes on during the graceful stop.
	g := rungroup.New(context.WithoutCancel(ctx))
	defer g.Stop()
	for _, run := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"hosts", d.poller.Run},
		{"control", d.runControl},
		{"claims", d.claims.Run},
		{"config", d.runConfig},
		{"fetch", d.runFetch},
		{"handovers", d.runHandovers},
		{"reports", d.runReports},
		{"orders", d.runOrders},
		{"sync", d.grants.Run},
		{"callers", serve(s.callers, nil)},
		{"routers", serve(s.routers, d.peers)},
		{"operators", serve(s.operators, nil)},
		{"stop", func(group context.Context) error { return d.awaitStop(ctx, group, s) }},
	} {
		g.Go(run.name, run.run)
	}
	d.log.WithFields(logrus.Fields{
		"event": "start", "boot": d.boot, "callers": d.settings.Callers(), "routers": d.settings.Routers(),
		"operators": d.settings.Operators(), "failure_domain": d.settings.FailureDomain(), "region": d.settings.Region(),
	}).Info("router started")
	err := g.Wait()
	d.log.WithFields(logrus.Fields{"event": "exit", "error": err}).Info("router ended")
	return err
}

// serve runs a server until the end of the group and counts the bytes of its
// connections in vars unless that is nil. A shutdown does not end it, since the
// graceful stop goes on after it and the group stops with its first member.
func serve(s *http.Server, vars *expvar.Map) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return err
		}
		if vars != nil {
			l = peer.Listener(l, vars)
		}
		end := make(chan error, 1)
		go func() { end <- s.Serve(l) }()
		select {
		case err = <-end:
		case <-ctx.Done():
			err = s.Close()
			<-end
		}
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return nil
		}
		return err
	}
}

// control runs f on the control goroutine and waits for its end.
func (d *Daemon) control(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	run := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case d.work <- run:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
