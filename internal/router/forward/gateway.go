package forward

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/router/activeconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/budget"
	"github.com/hemlockcroft/hemlockcroft/internal/router/crash"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/latency"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/promptwork"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rollout"
	"github.com/hemlockcroft/hemlockcroft/internal/router/shedding"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

// Dependencies are the components and settings of a Gateway.
type Dependencies struct {
	Protocol     Protocol
	ActiveConfig *activeconfig.Config
	Directory    *directory.Directory
	Gossip       *gossip.State
	Health       *balance.Health
	Balancer     balance.Balancer
	RetryBudget  *budget.Retry
	ColdStart    *budget.ColdStart
	// Shedding decides which requests to plain services are sent while their capacity
	// is short. It is nil if all are.
	Shedding    *shedding.Controller
	Pools       *http1.Pools
	PrefixIndex *prefix.Index
	Crashes     *crash.Detector
	Quarantine  *quarantine.Quarantine
	// Rollouts divides the upstreams of a service that moves to another version.
	Rollouts *rollout.Controller
	// OrdersFresh reports whether the operators' orders were confirmed recently.
	OrdersFresh func(now clock.Instant) bool
	Observer    admission.Observer
	Log         logrus.FieldLogger
	// StartupGate delays requests until the router has a configuration and a
	// list of upstreams.
	StartupGate *StartupGate
	// ReportCrash is called when requests of this router were in progress at an
	// upstream that crashed.
	ReportCrash func(r crash.Report)
	// MayProbe reports whether this router is the one that probes a quarantined set.
	MayProbe func(key string) bool
	// ReportOverload is called when an upstream reports a load above the bound
	// by which it was picked.
	ReportOverload func(upstream uint64)
	// ShutdownTimeLeft returns how long requests may still take, and false unless
	// the router is shutting down.
	ShutdownTimeLeft func() (time.Duration, bool)
	// ClosingConnections reports whether the router, while it is shutting down, expects
	// no new connections any more.
	ClosingConnections func() bool
	// FailureDomain is the failure domain of this router.
	FailureDomain string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Latency estimates which upstreams are slow. Without it, requests that share no
	// prompt are placed by this router's own counts alone.
	Latency *latency.Estimator
	// Prompts estimates the prompts that engines have to read. Without it, requests that
	// share a prompt are placed by affinity and load alone.
	Prompts *promptwork.Tracker
	// ReportPrompts is called when Prompts has notices for peers.
	ReportPrompts func()
}

// Gateway is the HTTP handler that forwards callers' requests to upstreams.
type Gateway struct {
	Dependencies
	loads       *serviceLoadCache
	multiRegion bool
	// quarantineRefusals counts the requests refused because of quarantined parts.
	quarantineRefusals atomic.Int64
	loadFormats        loadFormats
	// unevenPicks counts the picks by expected time, and explorations those that were
	// made to learn of upstreams that recover.
	unevenPicks, explorations atomic.Int64
	// promptPicks counts the picks of another engine than the affine one because of
	// prompts ahead.
	promptPicks atomic.Int64
	prefixes    prefixView
}

// New returns a gateway with the given dependencies.
func New(d Dependencies) *Gateway {
	regions := map[string]bool{}
	for _, r := range d.Regions {
		regions[r] = true
	}
	return &Gateway{
		Dependencies: d,
		loads:        &serviceLoadCache{directory: d.Directory, gossipState: d.Gossip, entries: map[groupKey]serviceEntry{}},
		multiRegion:  len(regions) > 1,
		prefixes:     prefixView{startedAt: clock.Now()},
	}
}

// ServeHTTP forwards one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := g.newJob(w, r)
	defer j.finish()
	if !j.admit() {
		return
	}
	j.run()
}

// newJob returns the job of a request and parses its header, unless that is too large
// to be served.
func (g *Gateway) newJob(w http.ResponseWriter, r *http.Request) *job {
	j := &job{
		Gateway: g, writer: w, request: r, arrivedAt: clock.Now(), startTime: time.Now(), tried: map[string]bool{},
		account: intake.FromContext(r.Context()),
	}
	if config := g.ActiveConfig.Table(); config != nil && headerTooLarge(config, r.Header) {
		j.info.ID = g.Protocol.RequestID(r.Header)
		return j
	}
	j.info = g.Protocol.ParseRequest(r.Header)
	return j
}
