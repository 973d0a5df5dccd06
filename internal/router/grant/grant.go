package grant

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// Directory provides the upstreams, their owners and the configuration.
type Directory interface {
	// Ready returns nil if this router may accept new requests, or else the
	// reason.
	Ready(now time.Time) error
	// Candidates returns the upstreams that may serve the request.
	Candidates(a admission.Request) []hosts.Host
	// HasUpstream reports whether any upstream serves the request's service or
	// model.
	HasUpstream(a admission.Request) bool
	// Lookup returns the upstream with this id.
	Lookup(id string) (hosts.Host, bool)
	// OwnerAddresses returns the addresses of the routers that may own h, best
	// first.
	OwnerAddresses(h hosts.Host) []string
	// Policy returns the merged policy of an upstream.
	Policy(h hosts.Host) fleetconfig.Policy
	// Class returns the default class of a workspace's requests.
	Class(workspace string) string
	// ClassPolicy returns the settings of a class, or of the standard class if
	// the name is unknown.
	ClassPolicy(class string) fleetconfig.Class
	// ConfigVersion returns the version of the active configuration.
	ConfigVersion() uint64
	// ObserveConfigVersion records the configuration version that the router at
	// address runs.
	ObserveConfigVersion(address string, version uint64)
}

// Routers returns clients of other routers by address.
type Routers interface {
	Client(address string) rpc.Router
}

// Client acquires, renews and releases the grants of this entry. It is safe for
// concurrent use.
type Client struct {
	routerID  string
	directory Directory
	routers   Routers
	decisions *admin.DecisionRing
	// releaseSignal wakes Run for the first release since the last batch.
	releaseSignal chan struct{}

	mu           sync.Mutex
	activeGrants map[*Grant]bool
	releases     []pendingRelease
	placements   []*rpc.Placement
}

// New returns a client for the router with the id routerID.
func New(routerID string, d Directory, r Routers, decisions *admin.DecisionRing) *Client {
	return &Client{routerID: routerID, directory: d, routers: r, decisions: decisions, activeGrants: map[*Grant]bool{}, releaseSignal: make(chan struct{}, 1)}
}

// Grant permits one attempt on one upstream. It is renewed until Release.
type Grant struct {
	client   *Client
	host     hosts.Host
	policy   fleetconfig.Policy
	attempt  uint32
	priority int
	id       uint64
	fencing  uint64
	lifetime time.Duration

	// The fields below are guarded by client.mu.
	owner   string
	renewAt time.Time
}

// Attempt returns the number of the attempt, from 1.
func (g *Grant) Attempt() uint32 { return g.attempt }

// UpstreamID returns the upstream's id in the host list.
func (g *Grant) UpstreamID() string { return g.host.ID() }

// Address returns host:port of the upstream.
func (g *Grant) Address() string { return g.host.Address() }

// Resumable reports whether the upstream can resume broken streams.
func (g *Grant) Resumable() bool { return g.policy.Resumable() }

// TrustNotRun reports whether the upstream's statement that a request did not
// run is trusted.
func (g *Grant) TrustNotRun() bool { return g.policy.TrustNotRun() }

// Priority returns the rank of the request's class; rank 0 is served first.
func (g *Grant) Priority() int { return g.priority }

// proto returns the message that identifies the grant to its owner. Workspace
// and class are left out, since owners decide nothing by those of running
// requests.
func (g *Grant) proto() *rpc.Grant {
	return &rpc.Grant{Upstream: g.host.ID(), Id: g.id, Fencing: g.fencing}
}

// Release ends the grant; calls after the first do nothing.
func (g *Grant) Release(r admission.Report) {
	c := g.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.activeGrants[g] {
		return
	}
	delete(c.activeGrants, g)
	if len(c.releases) == 0 {
		select {
		case c.releaseSignal <- struct{}{}:
		default:
		}
	}
	c.releases = append(c.releases, pendingRelease{
		host: g.host, owner: g.owner, expiresAt: time.Now().Add(2 * g.lifetime),
		message: &rpc.Release{
			Upstream: g.host.ID(), Id: g.id, Fencing: g.fencing, Ok: r.OK, ConnectionLost: r.ConnectionLost,
			FirstTokenMs: uint32(r.TimeToFirstToken.Milliseconds()), PromptTokens: uint32(max(r.PromptTokens, 0)),
			CachedTokens: uint32(max(r.CachedTokens, 0)), OutputTokens: uint32(max(r.OutputTokens, 0)), Boot: r.BootID,
		},
	})
}

// ActiveGrants returns the number of grants that are not released.
func (c *Client) ActiveGrants() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.activeGrants)
}

func (c *Client) addGrant(g *Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeGrants[g] = true
}

// maxPlacements limits the placements that wait for the next Sync; a lost
// placement costs one cache miss.
const maxPlacements = 4096

// reportPlacement queues a placement for the home's owner.
func (c *Client) reportPlacement(chat uint64, home, h hosts.Host) {
	p := &rpc.Placement{Chat: chat, Home: home.ID()}
	if h.ID() != home.ID() {
		p.Upstream = h.ID()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.placements) < maxPlacements {
		c.placements = append(c.placements, p)
	}
}

const (
	// readyTimeout is the longest time that a request waits for a configuration
	// that is being fetched before it is refused.
	readyTimeout      = 500 * time.Millisecond
	readyPollInterval = 20 * time.Millisecond
)

func (c *Client) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := c.directory.Ready(time.Now())
		if err == nil || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", err, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}
