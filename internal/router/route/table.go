package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Service is a group of interchangeable upstreams.
type Service struct {
	name     string
	maxConns int
	coldRate float64
	isEngine bool
}

// NewService returns a service. maxConns is the number of connections that one
// of its upstreams accepts from all callers, and coldRate the requests per
// second to one in cold start. isEngine distinguishes model engines from plain
// services.
func NewService(name string, maxConns int, coldRate float64, isEngine bool) *Service {
	return &Service{name, maxConns, coldRate, isEngine}
}

// MaxConns returns how many connections one upstream accepts from all callers.
func (s *Service) MaxConns() int { return s.maxConns }

// ColdRate returns how many requests per second one upstream handles in cold
// start.
func (s *Service) ColdRate() float64 { return s.coldRate }

// IsEngine reports whether the upstreams are model engines.
func (s *Service) IsEngine() bool { return s.isEngine }

// Limits bounds the size of requests and the idle time of connections.
type Limits struct {
	// HeaderBytes is the maximum size of the header's names and values, 0 for
	// no limit.
	HeaderBytes int
	// BodyBytes is the maximum size of a body, 0 for no limit.
	BodyBytes int
	// HeaderTimeout is the maximum time for a header, 0 if it is not stated.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time between two requests on a connection, 0
	// for no limit.
	IdleTimeout time.Duration
}

// Workspace is a customer's space, identified by its API keys.
type Workspace struct {
	name        string
	priority    int
	hasPriority bool
	regions     []string
}

// NewWorkspace returns a workspace. priority is nil if the priority of the
// route applies; regions are those in which its requests may be served, empty
// for all.
func NewWorkspace(name string, priority *int, regions []string) *Workspace {
	w := &Workspace{name: name, regions: regions}
	if priority != nil {
		w.priority, w.hasPriority = *priority, true
	}
	return w
}

// Name returns the name of the workspace, which is sent to upstreams.
func (w *Workspace) Name() string { return w.name }

// AllowsRegion reports whether requests of the workspace may be served in a
// region. A nil workspace allows all regions.
func (w *Workspace) AllowsRegion(region string) bool {
	return w == nil || regionAllowed(w.regions, region)
}

// Priority returns the priority of the workspace's requests on a route: the
// workspace's own if it has one, otherwise the route's.
func (w *Workspace) Priority(r *Route) int {
	if w != nil && w.hasPriority {
		return w.priority
	}
	return r.Priority()
}

// Table is one version of the configuration. It is immutable once in use.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Workspace
	limits   Limits
	hasKeys  bool
}

// NewTable returns an empty table of the given version.
func NewTable(version uint64, limits Limits) *Table {
	return &Table{
		version: version, limits: limits,
		hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Workspace{},
	}
}

// AddRoute adds a route. It must not be called after the table is in use.
func (t *Table) AddRoute(r *Route) {
	host := canonicalHost(r.spec.Host)
	list := append(t.hosts[host], r)
	slices.SortStableFunc(list, func(a, b *Route) int {
		return cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix))
	})
	t.hosts[host] = list
}

// AddService adds a service. It must not be called after the table is in use.
func (t *Table) AddService(s *Service) { t.services[s.name] = s }

// RequireKeys makes routes that are not public require a key of a workspace. It must
// not be called after the table is in use.
func (t *Table) RequireKeys() { t.hasKeys = true }

// AddWorkspace adds a workspace with its API keys. From then on, routes that
// are not public require a key. It must not be called after the table is in
// use.
func (t *Table) AddWorkspace(w *Workspace, keys []string) {
	t.RequireKeys()
	for _, k := range keys {
		t.keys[k] = w
	}
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// HasKeys reports whether routes that are not public require a key.
func (t *Table) HasKeys() bool { return t.hasKeys }

// NeedsKey reports whether requests of a route require an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.hasKeys && !r.Public() }

// Workspace returns the workspace of an API key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route with the longest matching path prefix for a host, or
// nil. host may include a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if r.matchesPath(path) {
			return r
		}
	}
	return nil
}

func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
