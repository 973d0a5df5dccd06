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

// NewService returns a service. maxConns bounds the connections to one of its
// upstreams from all callers, coldRate the requests a second to one in cold
// start; isEngine tells model engines from plain services.
func NewService(name string, maxConns int, coldRate float64, isEngine bool) *Service {
	return &Service{name, maxConns, coldRate, isEngine}
}

// MaxConns returns how many connections one upstream accepts from all callers.
func (s *Service) MaxConns() int { return s.maxConns }

// ColdRate returns how many requests a second one upstream stands in cold start.
func (s *Service) ColdRate() float64 { return s.coldRate }

// IsEngine reports whether the upstreams are model engines.
func (s *Service) IsEngine() bool { return s.isEngine }

// Limits bound what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes bounds the names and values of a header, 0 for no bound.
	HeaderBytes int
	// BodyBytes bounds a body, 0 for no bound.
	BodyBytes int
	// IdleTimeout bounds the time between requests of a connection, 0 for no
	// bound.
	IdleTimeout time.Duration
}

// Workspace is a customer of the fleet, found by its API key.
type Workspace struct {
	name        string
	priority    int
	hasPriority bool
	regions     []string
}

// NewWorkspace returns a workspace; priority is nil if it has none of its own,
// and regions are those where its requests may be served, none for all.
func NewWorkspace(name string, priority *int, regions []string) *Workspace {
	w := &Workspace{name: name, regions: regions}
	if priority != nil {
		w.priority, w.hasPriority = *priority, true
	}
	return w
}

// Name returns the name that upstreams are told.
func (w *Workspace) Name() string { return w.name }

// AllowsRegion reports whether requests of the workspace may be served in a region;
// without a workspace they may.
func (w *Workspace) AllowsRegion(region string) bool {
	return w == nil || regionAllowed(w.regions, region)
}

// Priority returns the rank of the workspace's requests on a route, where the
// workspace's own rank goes before the route's.
func (w *Workspace) Priority(r *Route) int {
	if w != nil && w.hasPriority {
		return w.priority
	}
	return r.Priority()
}

// Table is one version of the configuration; it does not change once built.
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

// AddRoute adds a route. It must not be called once the table is in use.
func (t *Table) AddRoute(r *Route) {
	host := canonicalHost(r.spec.Host)
	list := append(t.hosts[host], r)
	slices.SortStableFunc(list, func(a, b *Route) int {
		return cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix))
	})
	t.hosts[host] = list
}

// AddService adds a service. It must not be called once the table is in use.
func (t *Table) AddService(s *Service) { t.services[s.name] = s }

// AddWorkspace adds a workspace with its keys and makes keys required on
// routes that are not public. It must not be called once the table is in use.
func (t *Table) AddWorkspace(w *Workspace, keys []string) {
	t.hasKeys = true
	for _, k := range keys {
		t.keys[k] = w
	}
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// HasKeys reports whether the configuration names API keys at all.
func (t *Table) HasKeys() bool { return t.hasKeys }

// NeedsKey reports whether requests of a route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.hasKeys && !r.Public() }

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route with the longest prefix of path among those of the
// host, or nil. host may carry a port.
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
