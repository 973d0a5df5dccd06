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
	// releaseDelay gathers releases that come together. With 250 ms the third
	// of three requests in a row was refused at a cold engine without load.
	releaseDelay = 20 * time.Millisecond
	// renewalParts is the part of a grant lifetime after which a grant is renewed,
	// so that a new owner, which waits for half a lifetime, hears of it.
	renewalParts = 3
	// syncTimeout is well under a third of a grant lifetime, so that a renewal
	// can be repeated to the next owner before the grant expires.
	syncTimeout = time.Second
	// maxReleases bounds the releases that wait for an unreachable owner; an
	// owner forgets the grants of lost releases after their lifetime.
	maxReleases = 65536
)

// pending is a release that its owner has not acknowledged.
type pending struct {
	message *rpc.Release
	host    hosts.Host
	owner   string
	until   time.Time
}

// grantKey identifies a grant: ids are unique within one fencing token only.
type grantKey struct {
	upstream    string
	fencing, id uint64
}

// batch is what one owner is told in one Sync.
type batch struct {
	request  *rpc.SyncRequest
	releases []pending
	grants   []*Grant
}

// Run sends batches until ctx ends, then sends the rest once.
func (c *Client) Run(ctx context.Context) error {
	timer := time.NewTimer(syncInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Flush(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-c.released:
			timer.Reset(releaseDelay)
		case <-timer.C:
			c.Flush(ctx)
			timer.Reset(syncInterval)
		}
	}
}

// Flush sends what is due to each owner and waits for the answers.
func (c *Client) Flush(ctx context.Context) {
	var sent sync.WaitGroup
	for owner, b := range c.collect(time.Now()) {
		sent.Go(func() { c.send(ctx, owner, b) })
	}
	sent.Wait()
}

// collect takes the due messages by owner.
func (c *Client) collect(now time.Time) map[string]*batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batches := map[string]*batch{}
	at := func(owner string) *batch {
		if batches[owner] == nil {
			// Owners use neither the entry's name nor its boot identity.
			batches[owner] = &batch{request: &rpc.SyncRequest{ConfigVersion: c.directory.ConfigVersion()}}
		}
		return batches[owner]
	}
	for g := range c.held {
		if !now.Before(g.renewAt) {
			at(g.owner)
		}
	}
	for _, p := range c.releases {
		if now.After(p.until) {
			continue
		}
		b := at(p.owner)
		b.releases = append(b.releases, p)
		b.request.Releases = append(b.request.Releases, p.message)
	}
	c.releases = nil
	for _, p := range c.placements {
		if owner := c.ownerOf(p.Home); owner != "" {
			b := at(owner)
			b.request.Placements = append(b.request.Placements, p)
		}
	}
	c.placements = nil
	c.renew(now, batches)
	return batches
}

// renew adds to each batch the grants of its owner that are due within half of
// the time between two renewals. Renewed together, they need one call.
func (c *Client) renew(now time.Time, batches map[string]*batch) {
	for g := range c.held {
		b := batches[g.owner]
		if b == nil || now.Before(g.renewAt.Add(-g.lifetime/(2*renewalParts))) {
			continue
		}
		b.grants = append(b.grants, g)
		b.request.Renewals = append(b.request.Renewals, g.message())
	}
}

func (c *Client) ownerOf(upstream string) string {
	h, ok := c.directory.Lookup(upstream)
	if !ok {
		return ""
	}
	if owners := c.directory.Owners(h); len(owners) > 0 {
		return owners[0]
	}
	return ""
}

// send delivers one batch and takes in which grants another router owns now.
func (c *Client) send(ctx context.Context, owner string, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	r, err := c.routers.Client(owner).Sync(ctx, b.request)
	now := time.Now()
	if err != nil {
		c.undelivered(now, owner, b)
		return
	}
	c.directory.Seen(owner, r.ConfigVersion)
	foreign := map[grantKey]bool{}
	for _, g := range r.NotOwned {
		foreign[grantKey{g.Upstream, g.Fencing, g.Id}] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range b.grants {
		g.renewAt = now.Add(g.lifetime / renewalParts)
		if foreign[grantKey{g.host.ID(), g.fencing, g.id}] {
			c.reassign(now, g, owner)
		}
	}
	for _, p := range b.releases {
		if m := p.message; foreign[grantKey{m.Upstream, m.Fencing, m.Id}] {
			c.resend(p, owner)
		}
	}
}

// undelivered keeps releases for another try and finds the present owners.
func (c *Client) undelivered(now time.Time, owner string, b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range b.grants {
		c.reassign(now, g, owner)
	}
	for _, p := range b.releases {
		c.resend(p, owner)
	}
}

// resend puts a release that old did not take into the next batch for another
// router; the caller holds the lock.
func (c *Client) resend(p pending, old string) {
	if len(c.releases) >= maxReleases {
		return
	}
	if next := c.nextOwner(p.host, old); next != "" {
		p.owner = next
	}
	c.releases = append(c.releases, p)
}

// reassign makes the next batch tell another router of the grant.
func (c *Client) reassign(now time.Time, g *Grant, old string) {
	if next := c.nextOwner(g.host, old); next != "" {
		g.owner = next
	}
	g.renewAt = now
}

// nextOwner returns the best candidate owner other than old, or old if there
// is no other.
func (c *Client) nextOwner(h hosts.Host, old string) string {
	for _, owner := range c.directory.Owners(h) {
		if owner != old {
			return owner
		}
	}
	return old
}
