package route

import (
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
)

// Kind tells whether a request may be executed more than once.
type Kind int

// The zero value is AtMostOnce, so that a kind that is not known is never
// repeated.
const (
	// AtMostOnce requests run once at most.
	AtMostOnce Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Stream requests are answered with server-sent events.
	Stream
)

var kindNames = map[Kind]string{AtMostOnce: "at_most_once", Idempotent: "idempotent", Stream: "stream"}

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string { return kindNames[k] }

// Backend is one service that a route sends to, with its relative weight.
type Backend struct {
	service string
	weight  int
}

// NewBackend returns a backend; weight is relative to the route's others.
func NewBackend(service string, weight int) Backend { return Backend{service, weight} }

// Service returns the name of the backend's service.
func (b Backend) Service() string { return b.service }

// Spec is what New makes a route from.
type Spec struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration
	Objective   time.Duration
	EventGap    time.Duration
	MaxAttempts int
	Priority    int
	Backends    []Backend
	// Regions are those where requests may be served, none for all.
	Regions   []string
	Public    bool
	Affine    bool
	Resumable bool
}

// Route is one immutable row of the routing table.
type Route struct{ spec Spec }

// New returns the route that spec describes.
func New(spec Spec) *Route { return &Route{spec} }

// Name returns the operators' name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns whether requests of the route may be repeated.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns how long a caller may be kept waiting, 0 for no limit.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the latency within which an answer is on time; for
// streams, the latency of the first event.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// EventGap returns the longest pause between events of a stream that is on time.
func (r *Route) EventGap() time.Duration { return r.spec.EventGap }

// MaxAttempts returns to how many upstreams one request may be sent.
func (r *Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Priority returns the rank of the route, 0 for the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Public reports whether the route is served without an API key.
func (r *Route) Public() bool { return r.spec.Public }

// AllowsRegion reports whether requests of the route may be served in a region.
func (r *Route) AllowsRegion(region string) bool { return regionAllowed(r.spec.Regions, region) }

func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Affine reports whether requests that share a prompt prefix belong together.
func (r *Route) Affine() bool { return r.spec.Affine }

// Resumable reports whether a stream may be continued at another upstream.
func (r *Route) Resumable() bool { return r.spec.Kind == Stream && r.spec.Resumable }

// Retryable reports whether a request may run again after it may have run.
func (r *Route) Retryable() bool { return r.spec.Kind == Idempotent || r.Resumable() }

// Service picks one of the route's services for a key, in proportion to the
// weights. Equal keys get the same service while the weights are the same.
func (r *Route) Service(key string) string {
	total := 0
	for _, b := range r.spec.Backends {
		total += b.weight
	}
	if total <= 0 {
		return ""
	}
	point := int(place.Key(key) % uint64(total))
	for _, b := range r.spec.Backends {
		if point < b.weight {
			return b.service
		}
		point -= b.weight
	}
	return ""
}

// matchesPath reports whether path begins with the prefix of the route.
func (r *Route) matchesPath(path string) bool { return strings.HasPrefix(path, r.spec.Prefix) }
