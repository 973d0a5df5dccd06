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

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpserver"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/host/rungroup"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/partstore"
	"github.com/hemlockcroft/hemlockcroft/internal/router/activeconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/budget"
	"github.com/hemlockcroft/hemlockcroft/internal/router/crash"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/forward"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/latency"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/promptwork"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rollout"
	"github.com/hemlockcroft/hemlockcroft/internal/router/shedding"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

const (
	// revocationMargin is subtracted from the bound on revoked keys: a watch may
	// miss changes for a second before the store's history is compacted, and a
	// request may be sent shortly before the router checks the time.
	revocationMargin = 1100 * time.Millisecond
	// maxAgeShare is the share of the time for a change to take effect after
	// which a router without confirmations from peers reads the store itself.
	maxAgeShare = 0.75
	// settleShare is the share of the drain time for which a difference from
	// peers may last. Datagrams with a change are repeated for a shorter time.
	settleShare = 0.35
	// exitMargin is the part of the grace period reserved for the exit of the
	// process.
	exitMargin = 600 * time.Millisecond
	// housekeepingInterval is the time between two removals of state of departed
	// upstreams.
	housekeepingInterval = 500 * time.Millisecond
	// maxControlBytes limits the header and the body of a request of a peer or of
	// the platform. None of them carries any content.
	maxControlBytes = 16 << 10
	// controlReadTimeout limits the time to read such a request.
	controlReadTimeout = time.Second
	// summaryInterval is the time between two summary log lines.
	summaryInterval = 10 * time.Second
)

// Edge is a router that takes its state from the platform's store.
type Edge struct {
	settings      *Settings
	store         Store
	log           logrus.FieldLogger
	activeConfig  *activeconfig.Config
	directory     *directory.Directory
	gossipState   *gossip.State
	health        *balance.Health
	latency       *latency.Estimator
	prompts       *promptwork.Tracker
	promptNotices noticeLimit
	coldStart     *budget.ColdStart
	// shedding is nil unless the settings enable it.
	shedding             *shedding.Controller
	prefixIndex          *prefix.Index
	crashes              *crash.Detector
	quarantine           *quarantine.Quarantine
	quarantineSaver      *partstore.Saver
	pools                *http1.Pools
	metrics              *admin.Metrics
	counters             *expvar.Map
	gateway              *forward.Gateway
	server               *httpserver.Server
	callers              *intake.Account
	operatorStateTracker *topicTracker
	upstreamsTracker     *topicTracker
	outages              outageDetector
	rollouts             *rollout.Controller
	// rolloutSequence numbers the digests of roll-outs.
	rolloutSequence atomic.Uint64
	bootID          uint64
	relay           *operatorStateRelay
	listRelay       *listRelay
	updateLog       gossip.UpdateLog
	startupGate     *forward.StartupGate
	socket          *net.UDPConn
	// transmit sends a datagram to an address.
	transmit func(address string, content []byte) error
	stopCtx  context.Context
	// upstreamsListed is set after the first listing of the upstreams.
	upstreamsListed atomic.Bool
	// ordersRead is set after the first read of the operator state.
	ordersRead atomic.Bool
	// listedBefore is set if the first listing has an earlier registration of this
	// router.
	listedBefore atomic.Bool
	// firstListDone is closed after the listing of the routers before registration.
	firstListDone chan struct{}
	// peersListed is set after the first listing of the routers.
	peersListed atomic.Bool
	// storeFailures counts consecutive failed calls to the store.
	storeFailures atomic.Int64
	// explaining is held while a request is explained.
	explaining sync.Mutex

	mu          sync.Mutex
	failingUses map[string]bool
	// lastErrors holds the text of the last logged error by subject.
	lastErrors map[string]string
}

// New returns a router that is not running yet.
func New(s *Settings, store Store, protocol forward.Protocol, log logrus.FieldLogger) *Edge {
	bootID := uint64(time.Now().UnixNano())
	exposeShare, exposeSlack := s.Exposure()
	e := &Edge{
		settings: s, store: store, log: log, bootID: bootID,
		rollouts:             rollout.New(s.Name(), exposeShare, exposeSlack),
		activeConfig:         activeconfig.New(s.MaxRevocationDelay() - revocationMargin),
		directory:            directory.New(),
		gossipState:          gossip.New(s.Name(), bootID),
		health:               balance.NewHealth(),
		latency:              latency.NewEstimator(),
		prompts:              promptwork.New(),
		prefixIndex:          prefix.New(s.ReuseWindow()),
		crashes:              crash.NewDetector(),
		quarantine:           quarantine.New(),
		pools:                http1.NewPools(),
		metrics:              admin.NewMetrics(),
		counters:             new(expvar.Map).Init(),
		failingUses:          map[string]bool{},
		firstListDone:        make(chan struct{}),
		lastErrors:           map[string]string{},
		startupGate:          forward.NewStartupGate(clock.Now()),
		operatorStateTracker: newTopicTracker(gossip.OperatorState, time.Duration(maxAgeShare*float64(s.MaxConfigDelay())), 0),
		upstreamsTracker:     newTopicTracker(gossip.Upstreams, time.Duration(maxAgeShare*float64(s.MaxDrainDelay())), time.Duration(settleShare*float64(s.MaxDrainDelay()))),
	}
	e.quarantineSaver = partstore.New(e.quarantine, store, e)
	factor, slack := s.ColdStart()
	e.coldStart = budget.NewColdStart(s.Name(), factor, slack)
	if s.ShedsLoad() {
		e.shedding = shedding.New()
	}
	e.gateway = forward.New(forward.Dependencies{
		Protocol: protocol, ActiveConfig: e.activeConfig, Directory: e.directory, Gossip: e.gossipState, Health: e.health, Latency: e.latency, Prompts: e.prompts, ReportPrompts: e.announcePrompts,
		Balancer: balance.New(s.LoadFactor()), RetryBudget: budget.NewRetry(s.Retries()), ColdStart: e.coldStart, Shedding: e.shedding, Pools: e.pools, PrefixIndex: e.prefixIndex, Crashes: e.crashes, Quarantine: e.quarantine,
		Observer: e.metrics, Log: log, FailureDomain: s.FailureDomain(), Regions: s.Regions(),
		Rollouts: e.rollouts, OrdersFresh: e.ordersFresh,
		StartupGate: e.startupGate, ReportOverload: e.announceOverload, ReportCrash: e.recordCrash,
		MayProbe:           e.mayProbe,
		ShutdownTimeLeft:   func() (time.Duration, bool) { return e.server.ShutdownTimeLeft() },
		ClosingConnections: func() bool { return e.server.ClosingConnections() },
	})
	e.callers = intake.New(intake.LimitsFor(s.MemoryMB(), s.MaxFDs(), s.MaxConnectionsPerAddress()), log)
	e.server = httpserver.New(e.gateway, e.idleTimeout, httpserver.NewGate(e.callers, e.headLimits))
	e.relay = newOperatorStateRelay(e.operatorStateTracker)
	e.transmit = e.writeDatagram
	e.listRelay = newListRelay(e.directory, e.upstreamsTracker)
	e.gossipState.SetFailureDomain(s.FailureDomain())
	return e
}

// Run serves until ctx is done and all requests in progress have ended.
func (e *Edge) Run(ctx context.Context) error {
	debug.SetMemoryLimit(intake.HeapLimit(e.settings.MemoryMB()))
	e.stopCtx = ctx
	address, err := net.ResolveUDPAddr("udp4", e.settings.PeersAddress())
	if err != nil {
		return fmt.Errorf("resolve peer address: %w", err)
	}
	if e.socket, err = net.ListenUDP("udp4", address); err != nil {
		return fmt.Errorf("listen for peer datagrams: %w", err)
	}
	defer e.socket.Close()
	// The goroutines continue after ctx is done until the last request has ended.
	g := rungroup.New(context.WithoutCancel(ctx))
	g.Go("orders", e.followOperatorState)
	g.Go("upstreams", e.followUpstreams)
	g.Go("peers", e.maintainRegistration)
	g.Go("receive digests", e.receiveDatagrams)
	g.Go("send digests", e.sendDigests)
	g.Go("spread facts", e.spreadFacts)
	g.Go("send snapshots", e.sendSnapshots)
	g.Go("save quarantine", e.quarantineSaver.Run)
	g.Go("roll-outs", e.runRollouts)
	g.Go("housekeeping", e.housekeeping)
	g.Go("relay", e.httpServerTask(e.settings.PeersAddress(), e.peerHandler()))
	g.Go("readiness", e.httpServerTask(e.settings.ReadinessAddress(), http.HandlerFunc(e.serveReadiness)))
	g.Go("metrics", e.httpServerTask(e.settings.MetricsAddress(), http.HandlerFunc(e.serveOperators)))
	g.Go("callers", func(context.Context) error {
		defer g.Stop()
		return e.server.Serve(ctx, e.settings.CallersAddress(), e.settings.GracePeriod()-exitMargin)
	})
	e.log.WithFields(logrus.Fields{"router": e.settings.Name(), "domain": e.settings.FailureDomain()}).Info("started")
	err = g.Wait()
	e.log.WithError(err).Info("stopped")
	return err
}

// completeStartup marks the startup as complete once the router has a
// configuration and a listing of the upstreams.
func (e *Edge) completeStartup() {
	if e.upstreamsListed.Load() && e.activeConfig.Table() != nil {
		e.startupGate.Open()
	}
}

func (e *Edge) idleTimeout() time.Duration {
	if t := e.activeConfig.Table(); t != nil {
		return t.Limits().IdleTimeout
	}
	return 0
}

// headLimits returns the limits of the configuration on the heads of callers' requests.
func (e *Edge) headLimits() httpserver.HeadLimits {
	if t := e.activeConfig.Table(); t != nil {
		return httpserver.HeadLimits{Bytes: t.Limits().HeaderBytes, Time: t.Limits().HeaderTimeout}
	}
	return httpserver.HeadLimits{}
}

// serveReadiness responds to the balancer with 200 while requests can be served,
// otherwise with 503.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.stopCtx.Err() != nil || !e.upstreamsListed.Load() || !e.activeConfig.CanServe(clock.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics responds with all counters and histograms as JSON.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	m := new(expvar.Map).Init()
	m.Set("requests", e.metrics)
	m.Set("counters", e.counters)
	m.Set("store_calls", expvar.Func(func() any { return e.store.CallCounts() }))
	m.Set("invalid_entries", expvar.Func(func() any { return e.store.InvalidEntries() }))
	m.Set("store_bytes", expvar.Func(func() any { return e.store.ReceivedBytes() }))
	m.Set("upstream_connections", expvar.Func(func() any { return e.pools.Dials() }))
	m.Set("callers", expvar.Func(e.callers.Vars))
	m.Set("quarantine", expvar.Func(e.quarantineState))
	m.Set("quarantine_refusals", expvar.Func(func() any { return e.gateway.QuarantineRefusals() }))
	m.Set("rollouts", expvar.Func(func() any { return e.rollouts.State(clock.Now()) }))
	m.Set("slow_upstreams", expvar.Func(e.slowUpstreams))
	m.Set("uneven_picks", expvar.Func(func() any { n, _ := e.gateway.UnevenPicks(); return n }))
	m.Set("explorations", expvar.Func(func() any { _, n := e.gateway.UnevenPicks(); return n }))
	m.Set("prompt_picks", expvar.Func(func() any { return e.gateway.PromptPicks() }))
	m.Set("prompt_backlogs", expvar.Func(e.promptBacklogs))
	m.Set("load_reports_malformed", expvar.Func(func() any { return e.gateway.MalformedLoadReports() }))
	if e.shedding != nil {
		m.Set("shedding", expvar.Func(func() any { return e.shedding.Metrics(clock.Now()) }))
	}
	m.Set("routers", expvar.Func(func() any { return len(e.gossipState.LiveRouters(clock.Now())) }))
	m.Set("upstreams", expvar.Func(func() any { return len(e.directory.IDs()) }))
	m.Set("loads", expvar.Func(func() any {
		peers, age := e.gossipState.LoadAge(clock.Now())
		return map[string]int64{"peers": int64(peers), "age_ms": age.Milliseconds()}
	}))
	m.Set("upstreams_age_ms", expvar.Func(func() any { return e.upstreamsTracker.confirmationAge(clock.Now()).Milliseconds() }))
	m.Set("config_age_ms", expvar.Func(func() any { return e.activeConfig.Age(clock.Now()).Milliseconds() }))
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected, so there is nobody to
	// report it to.
	_, _ = fmt.Fprintln(w, m.String())
}

// httpServerTask returns a function for the run group that serves h at address.
func (e *Edge) httpServerTask(address string, h http.Handler) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		s := &http.Server{
			Addr: address, Handler: http.MaxBytesHandler(h, maxControlBytes), MaxHeaderBytes: maxControlBytes,
			ReadTimeout: controlReadTimeout, IdleTimeout: time.Minute,
		}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", address, err)
		}
		return ctx.Err()
	}
}

// housekeeping removes the state of departed upstreams and logs summaries.
func (e *Edge) housekeeping(ctx context.Context) error {
	lastSummary := clock.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, housekeepingInterval)
		now := clock.Now()
		if now.Sub(lastSummary) >= summaryInterval {
			lastSummary = now
			e.logSummary(now)
		}
		e.logChanges(e.directory.ExpireMissing(now), 0)
		ids := e.directory.IDs()
		e.pools.Retain(now, ids)
		e.health.Retain(now, ids)
		e.coldStart.Retain(ids)
		e.gateway.Retain(ids)
		e.latency.Retain(ids)
		e.prompts.Retain(now, ids)
		e.crashes.Expire(now)
		e.quarantine.Expire(now)
		e.expireShedding(now)
	}
	return ctx.Err()
}

// logSummary logs the counters, which show the volume of control traffic.
func (e *Edge) logSummary(now clock.Instant) {
	f := logrus.Fields{"routers": len(e.gossipState.LiveRouters(now)), "dials": e.pools.Dials(), "upstreams": len(e.directory.IDs())}
	f["upstreams_age_ms"] = e.upstreamsTracker.confirmationAge(now).Milliseconds()
	e.counters.Do(func(v expvar.KeyValue) { f[v.Key] = v.Value.String() })
	f["quarantine_refusals"] = e.gateway.QuarantineRefusals()
	f["prompt_picks"] = e.gateway.PromptPicks()
	f["uneven_picks"], f["explorations"] = e.gateway.UnevenPicks()
	f["load_reports_malformed"] = e.gateway.MalformedLoadReports()
	f["callers_used"], f["callers_limit"], f["caller_connections"] = e.callers.Used(), e.callers.Limits().Bytes, e.callers.Connections()
	f["store_bytes"], f["invalid_entries"] = e.store.ReceivedBytes(), e.store.InvalidEntries()
	for path, n := range e.store.CallCounts() {
		f["calls "+path] = n
	}
	e.log.WithFields(f).Info("summary")
}

func (e *Edge) logChanges(changes []directory.Change, revision uint64) {
	for _, c := range changes {
		e.log.WithFields(logrus.Fields{
			"upstream": c.ID, "change": c.Kind, "service": c.Entry.Service, "domain": c.Entry.FailureDomain,
			"born": c.Entry.Incarnation, "heartbeat": c.Entry.Heartbeat, "cold_ms": c.Entry.ColdRemaining.Milliseconds(), "revision": revision,
		}).Info("upstream changed")
	}
}

// logOnce reports whether an error differs from the last one about the subject, so
// that it should be logged.
func (e *Edge) logOnce(subject string, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.lastErrors[subject] == err.Error()
	e.lastErrors[subject] = err.Error()
	return !known
}

// logDependency logs when a use of the store starts to fail or to work again.
// Cancelled calls and compacted history are only counted.
func (e *Edge) logDependency(name string, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, ErrCompacted) {
		e.counters.Add("store_"+name+"_restarted", 1)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if (err != nil) == e.failingUses[name] {
		return
	}
	e.failingUses[name] = err != nil
	entry := e.log.WithFields(logrus.Fields{"dependency": "store", "use": name, "config_age_ms": e.activeConfig.Age(clock.Now()).Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("dependency lost")
		return
	}
	entry.Info("dependency regained")
}
