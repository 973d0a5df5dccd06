package grant

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// Directory knows the upstreams, their owners and the configuration.
type Directory interface {
	// Ready returns nil if this router may take new work, else why not.
	Ready(now time.Time) error
	// Candidates returns the upstreams that may serve the ask.
	Candidates(a admission.Ask) []hosts.Host
	// Known reports whether there is any upstream of the ask's service or model.
	Known(a admission.Ask) bool
	// Lookup returns the upstream with a name.
	Lookup(id string) (hosts.Host, bool)
	// Owners returns the addresses of the routers that may own h, best first.
	Owners(h hosts.Host) []string
	// Policy returns the merged policy of an upstream.
	Policy(h hosts.Host) fleet.Policy
	// Class returns the class of a workspace's requests that name none.
	Class(workspace string) string
	// ClassPolicy returns the settings of a class, those of the standard one for
	// unknown names.
	ClassPolicy(class string) fleet.Class
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion() uint64
	// Seen tells that the router at address runs a configuration version.
	Seen(address string, version uint64)
}

// Routers returns clients of other routers by address.
type Routers interface {
	Client(address string) rpc.Router
}

// Client holds the grants of this entry. It is safe for concurrent use.
type Client struct {
	self      string
	directory Directory
	routers   Routers
	ring      *admin.Ring
	// released wakes Run for the first release since the last batch.
	released chan struct{}

	mu         sync.Mutex
	held       map[*Grant]bool
	releases   []pending
	placements []*rpc.Placement
}

// New returns a client of the router self.
func New(self string, d Directory, r Routers, ring *admin.Ring) *Client {
	return &Client{self: self, directory: d, routers: r, ring: ring, held: map[*Grant]bool{}, released: make(chan struct{}, 1)}
}

// Grant is the permission to send one attempt to one upstream; it is renewed
// until Release.
type Grant struct {
	client   *Client
	host     hosts.Host
	policy   fleet.Policy
	attempt  uint32
	priority int
	id       uint64
	fencing  uint64
	lifetime time.Duration

	// Guarded by the client's lock.
	owner   string
	renewAt time.Time
}

// Attempt returns the number of the attempt, from 1.
func (g *Grant) Attempt() uint32 { return g.attempt }

// UpstreamID returns the upstream's name in the host list.
func (g *Grant) UpstreamID() string { return g.host.ID() }

// Address returns host:port of the upstream.
func (g *Grant) Address() string { return g.host.Address() }

// Resume reports whether the upstream resumes broken streams.
func (g *Grant) Resume() bool { return g.policy.Resume() }

// TrustNotRun reports whether the upstream's statement that a request did not run is trusted.
func (g *Grant) TrustNotRun() bool { return g.policy.TrustNotRun() }

// Priority returns the rank of the request's class, 0 for the one that is
// served first.
func (g *Grant) Priority() int { return g.priority }

// message returns the grant as routers name it to each other. Workspace and
// class are left out, since owners decide nothing by those of running work.
func (g *Grant) message() *rpc.Grant {
	return &rpc.Grant{Upstream: g.host.ID(), Id: g.id, Fencing: g.fencing}
}

// Release ends the grant; calls after the first do nothing.
func (g *Grant) Release(r admission.Report) {
	c := g.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.held[g] {
		return
	}
	delete(c.held, g)
	if len(c.releases) == 0 {
		select {
		case c.released <- struct{}{}:
		default:
		}
	}
	c.releases = append(c.releases, pending{
		host: g.host, owner: g.owner, until: time.Now().Add(2 * g.lifetime),
		message: &rpc.Release{
			Upstream: g.host.ID(), Id: g.id, Fencing: g.fencing, Ok: r.OK, ConnectionLost: r.ConnectionLost,
			FirstTokenMs: uint32(r.FirstToken.Milliseconds()), PromptTokens: uint32(max(r.PromptTokens, 0)),
			CachedTokens: uint32(max(r.CachedTokens, 0)), OutputTokens: uint32(max(r.OutputTokens, 0)), Boot: r.Boot,
		},
	})
}

// Held returns how many grants are running.
func (c *Client) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

func (c *Client) hold(g *Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[g] = true
}

// maxPlacements bounds the placements that wait for the next Sync; a lost
// placement costs one cache miss.
const maxPlacements = 4096

// placed tells the home's owner where a chat went.
func (c *Client) placed(chat uint64, home, h hosts.Host) {
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
	// readyWait bounds how long a request waits for a configuration that is
	// being fetched before it is refused.
	readyWait = 500 * time.Millisecond
	readyPoll = 20 * time.Millisecond
)

func (c *Client) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for {
		err := c.directory.Ready(time.Now())
		if err == nil || time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", err, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}
