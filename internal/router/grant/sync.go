package grant

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// syncInterval is the time between batches of renewals and placements.
	syncInterval = 250 * time.Millisecond
	// releaseDelay batches releases that occur close together. With 250 ms the
	// third of three requests in a row was refused at a cold engine without
	// load.
	releaseDelay = 20 * time.Millisecond
	// renewalDivisor sets the renewal interval: the grant lifetime divided by
	// this number. A new owner waits for half a lifetime before it admits, so
	// each active grant is renewed there in time.
	renewalDivisor = 3
	// syncTimeout is well under a third of a grant lifetime, so that a renewal
	// can be repeated at the next owner before the grant expires.
	syncTimeout = time.Second
	// maxReleases limits the releases that wait for an unreachable owner; an
	// owner expires the grants of lost releases after their lifetime.
	maxReleases = 65536
)

// pendingRelease is a release that its owner has not acknowledged.
type pendingRelease struct {
	message   *rpc.Release
	host      hosts.Host
	owner     string
	expiresAt time.Time
}

// grantKey identifies a grant; ids are unique only within one fencing token.
type grantKey struct {
	upstream    string
	fencing, id uint64
}

// syncBatch is the content of one Sync call to one owner.
type syncBatch struct {
	request  *rpc.SyncRequest
	releases []pendingRelease
	grants   []*Grant
}

// Run sends batches until ctx ends, then sends the remaining messages once.
func (c *Client) Run(ctx context.Context) error {
	timer := time.NewTimer(syncInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Flush(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-c.releaseSignal:
			timer.Reset(releaseDelay)
		case <-timer.C:
			c.Flush(ctx)
			timer.Reset(syncInterval)
		}
	}
}

// Flush sends the due messages to each owner and waits for the responses.
func (c *Client) Flush(ctx context.Context) {
	var sent sync.WaitGroup
	for owner, b := range c.collectDue(time.Now()) {
		sent.Go(func() { c.sendBatch(ctx, owner, b) })
	}
	sent.Wait()
}

// collectDue returns the due messages by owner and clears the pending lists.
func (c *Client) collectDue(now time.Time) map[string]*syncBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batches := map[string]*syncBatch{}
	batchFor := func(owner string) *syncBatch {
		if batches[owner] == nil {
			// Owners use neither the entry's ID nor its boot ID.
			batches[owner] = &syncBatch{request: &rpc.SyncRequest{ConfigVersion: c.directory.ConfigVersion()}}
		}
		return batches[owner]
	}
	for g := range c.activeGrants {
		if !now.Before(g.renewAt) {
			batchFor(g.owner)
		}
	}
	for _, p := range c.releases {
		if now.After(p.expiresAt) {
			continue
		}
		b := batchFor(p.owner)
		b.releases = append(b.releases, p)
		b.request.Releases = append(b.request.Releases, p.message)
	}
	c.releases = nil
	for _, p := range c.placements {
		if owner := c.likelyOwner(p.Home); owner != "" {
			b := batchFor(owner)
			b.request.Placements = append(b.request.Placements, p)
		}
	}
	c.placements = nil
	c.addRenewals(now, batches)
	return batches
}

// addRenewals adds to each batch the grants of its owner that are due within
// half a renewal interval. Renewing them together saves calls.
func (c *Client) addRenewals(now time.Time, batches map[string]*syncBatch) {
	for g := range c.activeGrants {
		b := batches[g.owner]
		if b == nil || now.Before(g.renewAt.Add(-g.lifetime/(2*renewalDivisor))) {
			continue
		}
		b.grants = append(b.grants, g)
		b.request.Renewals = append(b.request.Renewals, g.proto())
	}
}

func (c *Client) likelyOwner(upstream string) string {
	h, ok := c.directory.Lookup(upstream)
	if !ok {
		return ""
	}
	if owners := c.directory.OwnerAddresses(h); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

// sendBatch sends one batch and reassigns the grants and releases that the
// owner returned as not owned.
func (c *Client) sendBatch(ctx context.Context, owner string, b *syncBatch) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	r, err := c.routers.Client(owner).Sync(ctx, b.request)
	now := time.Now()
	if err != nil {
		c.requeueBatch(now, owner, b)
		return
	}
	c.directory.ObserveConfigVersion(owner, r.ConfigVersion)
	notOwned := map[grantKey]bool{}
	for _, g := range r.NotOwned {
		notOwned[grantKey{g.Upstream, g.Fencing, g.Id}] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range b.grants {
		g.renewAt = now.Add(g.lifetime / renewalDivisor)
		if notOwned[grantKey{g.host.ID(), g.fencing, g.id}] {
			c.reassignGrant(now, g, owner)
		}
	}
	for _, p := range b.releases {
		if m := p.message; notOwned[grantKey{m.Upstream, m.Fencing, m.Id}] {
			c.requeueRelease(p, owner)
		}
	}
}

// requeueBatch reassigns the messages of a failed batch to the next owners.
func (c *Client) requeueBatch(now time.Time, owner string, b *syncBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range b.grants {
		c.reassignGrant(now, g, owner)
	}
	for _, p := range b.releases {
		c.requeueRelease(p, owner)
	}
}

// requeueRelease adds a release that oldOwner did not accept to the next batch
// for another owner. The caller holds c.mu.
func (c *Client) requeueRelease(p pendingRelease, oldOwner string) {
	if len(c.releases) >= maxReleases {
		return
	}
	if next := c.nextOwner(p.host, oldOwner); next != "" {
		p.owner = next
	}
	c.releases = append(c.releases, p)
}

// reassignGrant makes the grant due for renewal at another owner. The caller
// holds c.mu.
func (c *Client) reassignGrant(now time.Time, g *Grant, oldOwner string) {
	if next := c.nextOwner(g.host, oldOwner); next != "" {
		g.owner = next
	}
	g.renewAt = now
}

// nextOwner returns the best candidate owner other than oldOwner, or oldOwner
// if there is no other.
func (c *Client) nextOwner(h hosts.Host, oldOwner string) string {
	for _, owner := range c.directory.OwnerAddresses(h) {
		if owner != oldOwner {
			return owner
		}
	}
	return oldOwner
}
