package route

import (
	"slices"
	"strings"
	"time"
)

// Kind defines whether a request may be executed more than once.
type Kind int

// The zero value is AtMostOnce, so that requests of an unknown kind are never
// retried.
const (
	// AtMostOnce requests must not be executed twice.
	AtMostOnce Kind = iota
	// Idempotent requests may be executed any number of times.
	Idempotent
	// Stream requests return a stream of server-sent events.
	Stream
)

var kindNames = map[Kind]string{AtMostOnce: "at_most_once", Idempotent: "idempotent", Stream: "stream"}

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string { return kindNames[k] }

// Backend is a service that a route sends requests to, with its weight.
type Backend struct {
	service string
	weight  int
}

// NewBackend returns a backend. The weight is relative to the other backends of
// the route.
func NewBackend(service string, weight int) Backend { return Backend{service, weight} }

// Service returns the name of the backend's service.
func (b Backend) Service() string { return b.service }

// Spec describes a route.
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
	// Regions are the regions in which requests may be served, empty for all.
	Regions   []string
	Public    bool
	Affine    bool
	Resumable bool
}

// Route is an immutable entry of the routing table.
type Route struct{ spec Spec }

// New returns the route that spec describes.
func New(spec Spec) *Route { return &Route{spec} }

// Name returns the name of the route in the configuration.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns the kind of the route's requests.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the time limit of a request, 0 for no limit.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the latency objective of a response; for streams, of the
// first event.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// EventGap returns the objective for the time between two events of a stream.
func (r *Route) EventGap() time.Duration { return r.spec.EventGap }

// MaxAttempts returns to how many upstreams a request may be sent, at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Priority returns the priority of the route, 0 for the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Public reports whether the route accepts requests without an API key.
func (r *Route) Public() bool { return r.spec.Public }

// AllowsRegion reports whether requests of the route may be served in a region.
func (r *Route) AllowsRegion(region string) bool { return regionAllowed(r.spec.Regions, region) }

func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Affine reports whether requests that share a prompt prefix are sent to the
// same upstream.
func (r *Route) Affine() bool { return r.spec.Affine }

// Resumable reports whether a broken stream may be resumed at another upstream.
func (r *Route) Resumable() bool { return r.spec.Kind == Stream && r.spec.Resumable }

// Retryable reports whether a request may be sent again although an earlier
// attempt may have run.
func (r *Route) Retryable() bool { return r.spec.Kind == Idempotent || r.Resumable() }

// Service picks one of the route's services in proportion to the weights. The
// same placement key (see package rendezvous) yields the same service as long as
// the weights do not change.
func (r *Route) Service(key uint64) string {
	total := 0
	for _, b := range r.spec.Backends {
		total += b.weight
	}
	if total <= 0 {
		return ""
	}
	point := int(key % uint64(total))
	for _, b := range r.spec.Backends {
		if point < b.weight {
			return b.service
		}
		point -= b.weight
	}
	return ""
}

// matchesPath reports whether path starts with the route's prefix.
func (r *Route) matchesPath(path string) bool { return strings.HasPrefix(path, r.spec.Prefix) }
