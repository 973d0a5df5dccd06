package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpserver"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/rungroup"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
	"github.com/hemlockcroft/hemlockcroft/internal/router/grant"
	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/owner"
	"github.com/hemlockcroft/hemlockcroft/internal/router/peer"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// hostListInterval is the time between two polls of the host list.
const hostListInterval = 2 * time.Second

// maxQueuedHandovers is the capacity of the handover queue. At the design size a
// router owns about 12 upstreams, so the control goroutine never blocks on it.
const maxQueuedHandovers = 1024

// Daemon is one router. It is created by New and started once with Run.
type Daemon struct {
	settings  *settings.Settings
	log       *logrus.Entry
	bootID    string
	vars      *expvar.Map
	decisions *admin.DecisionRing
	metrics   *admin.Metrics

	poller      *hosts.Poller
	store       *etcd.Client
	peerClients *peer.Clients
	peerVars    *expvar.Map // bytes and calls exchanged with other routers
	pools       *transport.Pools
	engines     *engine.Client
	ownerTable  *owner.Table
	grantClient *grant.Client
	guard       *partGuard
	// shedding is nil unless the settings enable it.
	shedding *loadShedding

	owned ownedUpstreams

	// members and claims are used on the control goroutine, except for the methods
	// that their packages document as safe for concurrent use.
	members *membership.Members
	claims  *claim.Claims

	hostListTime time.Time

	// storedConfig is used by runConfigWatch only.
	storedConfig storedConfig

	controlCalls    chan func(now time.Time)
	exchangeResults chan exchangeResult
	fetchRequests   chan fetchRequest
	handovers       chan handover
	config          atomic.Pointer[fleetconfig.Document]
	// candidateCache and liveRoutersCache are shared by all requests.
	candidateCache   atomic.Pointer[candidateCache]
	liveRoutersCache atomic.Pointer[liveRouters]
	draining         atomic.Bool
	wasReady         atomic.Bool // set once the router has been ready
	openRequests     atomic.Int64
	// callers is the account of what callers hold, and gate connects it with the server
	// for callers.
	callers *intake.Account
	gate    *httpserver.Gate
}

// Run creates a router, runs it until ctx ends and then shuts it down
// gracefully.
func Run(ctx context.Context, s *settings.Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// New creates a router without starting it.
func New(s *settings.Settings) (*Daemon, error) {
	empty, err := fleetconfig.Parse(nil)
	if err != nil {
		return nil, fmt.Errorf("built-in configuration: %w", err)
	}
	d := &Daemon{
		settings: s, log: newLogger(s.LogLevel(), s.ID()), bootID: rand.Text()[:bootIDLength], vars: new(expvar.Map).Init(),
		decisions: admin.NewDecisionRing(s.DecisionRingSize()), metrics: admin.NewMetrics(), controlCalls: make(chan func(time.Time)),
		exchangeResults: make(chan exchangeResult), fetchRequests: make(chan fetchRequest, 1), handovers: make(chan handover, maxQueuedHandovers),
	}
	d.config.Store(empty)
	d.peerVars = new(expvar.Map).Init()
	d.vars.Set("control", d.peerVars)
	d.vars.Set("requests", d.metrics)
	d.callers = intake.New(intake.LimitsFor(s.MemoryMB(), s.MaxFDs(), s.MaxConnectionsPerAddress()), d.log)
	d.gate = httpserver.NewGate(d.callers, d.headLimits)
	d.vars.Set("callers", expvar.Func(d.callers.Vars))
	d.poller = hosts.NewPoller(s.HostListURL(), hostListInterval, hosts.NewClient(hostListInterval))
	d.store = newStore(s, d.vars)
	d.peerClients = peer.New(s.RoutersAddress(), rpcService{d}, d.peerVars, func() bool { return d.members.RotatesTargets() })
	d.pools = transport.New()
	d.engines = engine.New(d.pools, engine.WithReadTimeout(s.EngineReadTimeout()))
	d.owned.byID = map[string]ownedUpstream{}
	d.members = membership.New(membership.Self{
		ID: s.ID(), BootID: d.bootID, Address: s.RoutersAddress(), FailureDomain: s.FailureDomain(), Region: s.Region(),
	})
	d.members.SetFreshnessLimit(s.FreshnessLimit())
	d.claims = d.newClaims()
	d.ownerTable = owner.New(s.ID(), d.members, policies{d}, d.claims)
	d.grantClient = grant.New(s.ID(), d, d.peerClients, d.decisions)
	d.guard = newPartGuard(d)
	d.shedding = newLoadShedding(d)
	return d, nil
}

// bootIDLength is the length of a boot ID in characters of 5 bits. Boot IDs are
// short because each exchange carries one, and they only have to be unique among
// the starts of one router.
const bootIDLength = 8

type httpServers struct {
	callers, routers, operators *http.Server
}

// Run serves until ctx ends and then shuts down gracefully. It returns the error
// of the first component that failed.
func (d *Daemon) Run(ctx context.Context) error {
	if d.settings.MemoryMB() > 0 {
		debug.SetMemoryLimit(intake.HeapLimit(d.settings.MemoryMB()))
	}
	s := httpServers{
		callers:   d.callerServer(),
		routers:   peer.Server(d.settings.RoutersAddress(), rpcService{d}, d.peerVars, d.guard.receive),
		operators: &http.Server{Addr: d.settings.OperatorsAddress(), Handler: admin.Handler(d, d.decisions, d.vars), ReadHeaderTimeout: 5 * time.Second},
	}
	// The group must outlive ctx, since it runs during the graceful shutdown.
	g := rungroup.New(context.WithoutCancel(ctx))
	defer g.Stop()
	for _, run := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"hosts", d.poller.Run},
		{"control", d.runControl},
		{"claims", d.claims.Run},
		{"config", d.runConfigWatch},
		{"fetch", d.runConfigFetches},
		{"handovers", d.runHandovers},
		{"reports", d.runLoadReports},
		{"orders", d.runReconcile},
		{"sync", d.grantClient.Run},
		{"facts", d.guard.run},
		{"save", d.guard.saver.Run},
		{"load", d.guard.load},
		{"shedding", d.shedding.run},
		{"callers", serve(s.callers, d.listenForCallers)},
		{"limits", d.gate.Run},
		{"routers", serve(s.routers, d.listenForRouters)},
		{"operators", serve(s.operators, listen)},
		{"stop", func(group context.Context) error { return d.awaitStop(ctx, group, s) }},
	} {
		g.Go(run.name, run.run)
	}
	d.log.WithFields(logrus.Fields{
		"event": "start", "boot": d.bootID, "callers": d.settings.CallersAddress(), "routers": d.settings.RoutersAddress(),
		"operators": d.settings.OperatorsAddress(), "failure_domain": d.settings.FailureDomain(), "region": d.settings.Region(),
	}).Info("router started")
	err := g.Wait()
	d.log.WithFields(logrus.Fields{"event": "exit", "error": err}).Info("router exited")
	return err
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// listenForCallers returns a listener that counts what callers hold.
func (d *Daemon) listenForCallers(ctx context.Context, address string) (net.Listener, error) {
	return d.gate.Listen(ctx, "tcp", address)
}

// listenForRouters returns a listener that counts the bytes of its connections.
func (d *Daemon) listenForRouters(ctx context.Context, address string) (net.Listener, error) {
	l, err := listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return peer.Listener(l, d.peerVars), nil
}

// serve returns a function that runs s until its context ends, on a listener of listen.
// The function does not return when s is shut down: that would end the whole group, and
// with it the rest of the graceful shutdown.
func serve(s *http.Server, listen func(context.Context, string) (net.Listener, error)) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := listen(ctx, s.Addr)
		if err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		select {
		case err = <-done:
		case <-ctx.Done():
			err = s.Close()
			<-done
		}
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done()
			return nil
		}
		return err
	}
}

// callOnControl runs f on the control goroutine and waits until it returns. The
// error is that of ctx if it ends first.
func (d *Daemon) callOnControl(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	run := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case d.controlCalls <- run:
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
