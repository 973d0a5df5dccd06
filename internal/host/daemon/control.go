package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/owner"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// tickInterval is the time between two ticks of the control goroutine. Every
	// second tick sends exchanges.
	tickInterval = membership.ExchangeInterval / 2
	// exchangeTimeout ends a call to an unresponsive peer well before failure
	// detection declares the peer dead.
	exchangeTimeout = 900 * time.Millisecond
)

// runControl is the control goroutine, which owns membership and claims. Nothing
// on it may block on the network.
func (d *Daemon) runControl(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ticks := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-d.controlCalls:
			f(time.Now())
		case result := <-d.exchangeResults:
			d.handleExchangeResult(time.Now(), result)
		case <-d.claims.Wake():
			d.claims.Step(time.Now())
		case <-ticker.C:
			d.tick(ctx, time.Now(), ticks%2 == 0)
			ticks++
		}
	}
}

func (d *Daemon) tick(ctx context.Context, now time.Time, exchange bool) {
	d.applyHostList(now)
	d.ownerTable.Tick(now)
	d.members.SetDigests(now, d.ownerTable.Digests(now))
	d.members.SetStoreReachable(now, d.claims.StoreReachable())
	d.members.SetState(d.state(now))
	if version, address := d.members.NewestConfig(); version > d.ConfigVersion() {
		d.requestConfigFetch(address, version)
	}
	if exchange {
		d.guard.expire()
		d.sendExchanges(ctx, now)
	}
	d.claims.Step(now)
}

// state returns the state that exchanges announce. A router that has been ready
// never announces itself as starting again, since peers do not count a starting
// router as agreeing on the configuration. Otherwise routers that all lost each
// other for longer than the freshness limit, while the store is unreachable, could
// never agree again.
func (d *Daemon) state(now time.Time) rpc.RouterState {
	switch {
	case d.draining.Load():
		return rpc.RouterState_ROUTER_STATE_LEAVING
	case d.Ready(now) == nil:
		d.wasReady.Store(true)
		return rpc.RouterState_ROUTER_STATE_READY
	case d.wasReady.Load():
		return rpc.RouterState_ROUTER_STATE_STALE
	}
	return rpc.RouterState_ROUTER_STATE_STARTING
}

// applyHostList passes a new host list to membership and claims, and the current
// hosts of owned upstreams to admission.
func (d *Daemon) applyHostList(now time.Time) {
	if updated := d.poller.LastSuccess(); updated != d.hostListTime {
		d.hostListTime = updated
		var routers []membership.Peer
		for _, h := range d.poller.Current().Routers() {
			routers = append(routers, membership.Peer{
				ID: h.ID(), Address: h.Address(), FailureDomain: h.FailureDomain(), Region: h.Region(), Draining: h.Draining(),
			})
		}
		d.members.SetHostList(now, routers)
		d.updateClaimUpstreams(now)
	}
	for _, id := range d.ownerTable.Owned() {
		if h, ok := d.Lookup(id); ok {
			d.ownerTable.SetListedState(now, ownerUpstream(h))
		}
	}
}

func ownerUpstream(h hosts.Host) owner.Upstream {
	return owner.Upstream{
		ID: h.ID(), Pool: h.Pool(), FailureDomain: h.FailureDomain(), Draining: h.Draining(),
		PublishesLoadReports: h.Kind() == hosts.KindEngine,
	}
}

// exchangeResult is the result of one exchange with a peer.
type exchangeResult struct {
	router   string
	address  string
	sent     time.Time
	response *rpc.ExchangeResponse
	err      error
}

// sendExchanges sends a heartbeat to each peer of this gossip round. The results
// arrive on exchangeResults.
func (d *Daemon) sendExchanges(ctx context.Context, now time.Time) {
	full := d.members.NewRequest(now, d.claims.WantsHoldOff(now))
	withoutIdentity := membership.WithoutIdentity(full)
	facts := d.guard.snapshot()
	for _, p := range d.members.Targets(now) {
		request := full
		if d.members.KnowsIdentity(p.ID) {
			request = withoutIdentity
		}
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			result := exchangeResult{router: p.ID, address: p.Address, sent: time.Now()}
			result.response, result.err = d.peerClients.Client(p.Address).Exchange(callCtx, request)
			if err := d.guard.send(callCtx, p.Address, facts); err != nil {
				d.log.WithFields(logrus.Fields{"event": "facts", "peer": p.Address, "error": err}).Debug("facts not sent")
			}
			select {
			case d.exchangeResults <- result:
			case <-ctx.Done():
			}
		}()
	}
}

func (d *Daemon) handleExchangeResult(now time.Time, result exchangeResult) {
	if result.err != nil {
		d.members.ExchangeFailed(result.router)
		d.log.WithFields(logrus.Fields{"event": "exchange", "peer": result.address, "error": result.err}).Debug("exchange failed")
		return
	}
	d.members.HandleResponse(result.sent, now, result.address, result.response)
}
