package daemon

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/router/owner"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

// maxCandidateOwners is the number of candidate owners that an entry router asks:
// the first in rendezvous order and the one that would take over from it.
const maxCandidateOwners = 2

var (
	errNoConfig = errors.New("no fleet configuration yet")
	errNoHosts  = errors.New("no host list yet")
	errStale    = errors.New("the configuration was not confirmed within the freshness limit")
	errDraining = errors.New("this router is stopping")
)

// Ready returns nil if this router may admit requests as an entry router, and
// otherwise the reason why not.
func (d *Daemon) Ready(now time.Time) error {
	version := d.ConfigVersion()
	if version == 0 {
		return errNoConfig
	}
	if len(d.poller.Current().Hosts()) == 0 {
		return errNoHosts
	}
	if newest, _ := d.members.NewestConfig(); newest > version {
		return fmt.Errorf("configuration %d is being fetched, %d is in force here", newest, version)
	}
	if !d.members.Fresh(now) {
		return errStale
	}
	return nil
}

// Readiness returns nil if the load balancer should send requests to this router,
// and otherwise the reason why not.
func (d *Daemon) Readiness() error {
	if d.draining.Load() {
		return errDraining
	}
	return d.Ready(time.Now())
}

// candidateCache caches candidates for one host list and one configuration, both
// of which are immutable.
type candidateCache struct {
	list   *hosts.List
	config *fleetconfig.Document

	mu       sync.Mutex
	byTarget map[requestTarget][]hosts.Host
}

// requestTarget holds the fields of a request that decide which upstreams may
// serve it. Service is empty for chats.
type requestTarget struct{ service, model string }

// Candidates returns the upstreams that may serve the request: those of this
// region, or of all regions if this one has none. The caller must not modify the
// result. It is cached until the host list or the configuration changes, since
// merging the policies of 399 engines for each request took 0.6 ms.
func (d *Daemon) Candidates(req admission.Request) []hosts.Host {
	list, config := d.poller.Current(), d.activeConfig()
	cache := d.candidateCache.Load()
	if cache == nil || cache.list != list || cache.config != config {
		cache = &candidateCache{list: list, config: config, byTarget: map[requestTarget][]hosts.Host{}}
		d.candidateCache.Store(cache)
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	t := requestTarget{req.Service, req.Model}
	candidates, ok := cache.byTarget[t]
	if !ok {
		candidates = d.findCandidates(cache, req)
		// Names that no host has are not cached, so that callers cannot fill the map.
		if len(candidates) > 0 {
			cache.byTarget[t] = candidates
		}
	}
	return candidates
}

func (d *Daemon) findCandidates(cache *candidateCache, req admission.Request) []hosts.Host {
	for _, region := range []string{d.settings.Region(), ""} {
		if active := activeUpstreams(cache.config, upstreamsInRegion(cache.list, req, region)); len(active) > 0 {
			return active
		}
	}
	return nil
}

// HasUpstream reports whether any region has an upstream for the request, whether
// or not it takes new work.
func (d *Daemon) HasUpstream(req admission.Request) bool {
	return len(upstreamsInRegion(d.poller.Current(), req, "")) > 0
}

// upstreamsInRegion returns the upstreams of a region for the request, or those of
// all regions if region is empty.
func upstreamsInRegion(list *hosts.List, req admission.Request, region string) []hosts.Host {
	if region != "" && req.Service != "" {
		return list.PlainWorkers(req.Service, region)
	}
	if region != "" {
		return list.Engines("", req.Model, region)
	}
	var found []hosts.Host
	for _, h := range list.Hosts() {
		if req.Service != "" && h.Kind() == hosts.KindPlain && h.Service() == req.Service ||
			req.Service == "" && h.Kind() == hosts.KindEngine && h.Model() == req.Model {
			found = append(found, h)
		}
	}
	return found
}

// activeUpstreams returns the upstreams of list that take new work.
func activeUpstreams(config *fleetconfig.Document, list []hosts.Host) []hosts.Host {
	var active []hosts.Host
	for _, h := range list {
		p := config.UpstreamPolicy(h)
		if !h.Draining() && !p.Disabled() && !p.DomainEvacuated() {
			active = append(active, h)
		}
	}
	return active
}

// Lookup returns the host with the given id and reports whether it is in the host
// list.
func (d *Daemon) Lookup(id string) (hosts.Host, bool) { return d.poller.Current().Lookup(id) }

// OwnerAddresses returns the addresses of the routers to ask for grants of the
// upstream h: the known owner, then the candidate owners in rendezvous order.
func (d *Daemon) OwnerAddresses(h hosts.Host) []string {
	var addresses []string
	add := func(id string) {
		if a := d.routerAddress(id); a != "" && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	add(d.claims.OwnerOf(h.ID()))
	ids := d.candidateOwners(time.Now(), h)
	for _, id := range ids[:min(maxCandidateOwners, len(ids))] {
		add(id)
	}
	return addresses
}

// maxLiveRoutersAge is how long a list of the live routers is reused. Building it
// for each request took 0.4 ms with 980 routers, and failure detection takes 2 s or
// more anyway.
const maxLiveRoutersAge = 100 * time.Millisecond

// liveRouters holds the ids of the routers that were live at a time.
type liveRouters struct {
	time                      time.Time
	byFailureDomain, byRegion map[string][]string
}

// liveRouters returns the live routers as of at most maxLiveRoutersAge ago.
func (d *Daemon) liveRouters(now time.Time) *liveRouters {
	if l := d.liveRoutersCache.Load(); l != nil && now.Sub(l.time) < maxLiveRoutersAge && !now.Before(l.time) {
		return l
	}
	l := &liveRouters{time: now, byFailureDomain: map[string][]string{}, byRegion: map[string][]string{}}
	for _, p := range d.members.Live(now) {
		l.byFailureDomain[p.FailureDomain] = append(l.byFailureDomain[p.FailureDomain], p.ID)
		l.byRegion[p.Region] = append(l.byRegion[p.Region], p.ID)
	}
	d.liveRoutersCache.Store(l)
	return l
}

// candidateOwners returns the live routers of the upstream's failure domain in
// rendezvous order, or those of its region if the domain has none.
func (d *Daemon) candidateOwners(now time.Time, h hosts.Host) []string {
	l := d.liveRouters(now)
	ids := l.byFailureDomain[h.FailureDomain()]
	if len(ids) == 0 {
		ids = l.byRegion[h.Region()]
	}
	return rendezvous.Order(rendezvous.Key(h.ID()), ids)
}

// routerAddress returns the host:port at which a router serves other routers, or
// "" if the router is not in the host list.
func (d *Daemon) routerAddress(id string) string {
	if id == d.settings.ID() {
		return d.settings.RoutersAddress()
	}
	if h, ok := d.poller.Current().Lookup(id); ok && h.Kind() == hosts.KindRouter {
		return h.Address()
	}
	return ""
}

// Policy returns the merged policy of an upstream.
func (d *Daemon) Policy(h hosts.Host) fleetconfig.Policy { return d.activeConfig().UpstreamPolicy(h) }

// Class returns the default request class of a workspace.
func (d *Daemon) Class(workspace string) string { return d.activeConfig().Workspace(workspace).Class() }

// ClassPolicy returns the policy of a request class, or that of the standard class
// for unknown names.
func (d *Daemon) ClassPolicy(class string) fleetconfig.Class {
	c, _ := d.activeConfig().Class(class)
	return c
}

// ObserveConfigVersion requests the configuration of the router at address if its
// version is higher than the active one.
func (d *Daemon) ObserveConfigVersion(address string, version uint64) {
	if version > d.ConfigVersion() {
		d.requestConfigFetch(address, version)
	}
}

// Workspace returns the workspace that a bearer key was issued for and reports
// whether the key is valid now.
func (d *Daemon) Workspace(key string) (string, bool) {
	name, generation, ok := fleetconfig.CheckKey(d.settings.KeySecret(), key)
	if !ok {
		return "", false
	}
	w := d.activeConfig().Workspace(name)
	return name, generation >= w.KeyGeneration() && !w.Disabled()
}

// policies provides the active configuration to the owner table.
type policies struct{ d *Daemon }

// Upstream returns the policy of an upstream. One that is no longer in the host list
// gets the policy of an unknown upstream.
func (p policies) Upstream(id string) owner.Policy {
	h, _ := p.d.Lookup(id)
	return p.d.Policy(h)
}

// Class returns the policy of a request class.
func (p policies) Class(name string) owner.Class { return p.d.ClassPolicy(name) }

// Weight returns the weight of a workspace in the fair queue of an upstream.
func (p policies) Weight(workspace string) int {
	return p.d.activeConfig().Workspace(workspace).Weight()
}
