package forward

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/router/authority"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/budget"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

// Dependencies are what a Gateway works with.
type Dependencies struct {
	Protocol     Protocol
	ActiveConfig *authority.ActiveConfig
	Directory    *directory.Directory
	Board        *digest.Board
	Health       *balance.Health
	Balancer     balance.Balancer
	RetryBudget  *budget.Retry
	ColdStart    *budget.ColdStart
	Pools        *http1.Pools
	PrefixIndex  *prefix.Index
	Observer     admission.Observer
	Log          logrus.FieldLogger
	// StartupGate is where requests wait for what the router does not know yet.
	StartupGate *StartupGate
	// ReportOverload is told of an upstream that states a load above the bound by which it
	// was picked.
	ReportOverload func(upstream uint64)
	// TimeUntilStop returns how long requests may still take, and false unless the
	// router is about to end.
	TimeUntilStop func() (time.Duration, bool)
	// FailureDomain is where this router runs.
	FailureDomain string
	// Regions names the region of each failure domain.
	Regions map[string]string
}

// Gateway serves requests of callers.
type Gateway struct {
	Dependencies
	loads       *serviceLoadCache
	multiRegion bool
}

// New returns a gateway made of parts.
func New(p Dependencies) *Gateway {
	regions := map[string]bool{}
	for _, r := range p.Regions {
		regions[r] = true
	}
	return &Gateway{
		Dependencies: p,
		loads:        &serviceLoadCache{directory: p.Directory, board: p.Board, entries: map[string]serviceEntry{}},
		multiRegion:  len(regions) > 1,
	}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := g.newJob(w, r)
	defer j.finish()
	if !j.admit() {
		return
	}
	j.run()
}

// newJob reads the header of a request.
func (g *Gateway) newJob(w http.ResponseWriter, r *http.Request) *job {
	return &job{
		Gateway: g, writer: w, request: r,
		call: g.Protocol.ParseRequest(r.Header), arrived: clock.Now(), startTime: time.Now(),
		tried: map[string]bool{},
	}
}
