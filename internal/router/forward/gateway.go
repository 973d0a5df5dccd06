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

// Parts are what a Gateway works with.
type Parts struct {
	Protocol  Protocol
	Authority *authority.Authority
	Directory *directory.Directory
	Board     *digest.Gossip
	Health    *balance.Health
	Balancer  balance.Balancer
	Retry     *budget.Retry
	Cold      *budget.Cold
	Pools     *http1.Pools
	Holders   *prefix.Holders
	Observer  admission.Observer
	Log       logrus.FieldLogger
	// Start is where requests wait for what the router does not know yet.
	Start *Start
	// Crowded is told of an upstream that states a load above the bound by which it
	// was picked.
	Crowded func(upstream uint64)
	// TimeLeft returns how long requests may still take, and false unless the
	// router is about to end.
	TimeLeft func() (time.Duration, bool)
	// FailureDomain is where this router runs.
	FailureDomain string
	// Regions names the region of each failure domain.
	Regions map[string]string
}

// Gateway serves requests of callers.
type Gateway struct {
	Parts
	loads       *serviceLoads
	manyRegions bool
}

// New returns a gateway made of parts.
func New(p Parts) *Gateway {
	regions := map[string]bool{}
	for _, r := range p.Regions {
		regions[r] = true
	}
	return &Gateway{
		Parts:       p,
		loads:       &serviceLoads{directory: p.Directory, board: p.Board, sums: map[string]serviceSum{}},
		manyRegions: len(regions) > 1,
	}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := g.open(w, r)
	defer j.close()
	if !j.admit() {
		return
	}
	j.run()
}

// open reads the header of a request.
func (g *Gateway) open(w http.ResponseWriter, r *http.Request) *job {
	return &job{
		Gateway: g, writer: w, request: r,
		call: g.Protocol.Call(r.Header), arrived: clock.Now(), start: time.Now(),
		tried: map[string]bool{},
	}
}
