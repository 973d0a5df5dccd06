package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/member"
	"github.com/hemlockcroft/hemlockcroft/internal/router/owner"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// tickInterval is the step of the control goroutine; an exchange is sent
	// every second step.
	tickInterval = member.ExchangeInterval / 2
	// exchangeTimeout leaves a silent peer out well before it counts as gone.
	exchangeTimeout = 900 * time.Millisecond
)

// runControl owns membership and claims. Nothing on it waits for the network.
func (d *Daemon) runControl(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for step := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-d.work:
			f(time.Now())
		case e := <-d.exchanges:
			d.merge(time.Now(), e)
		case <-d.claims.Wake():
			d.claims.Step(time.Now())
		case <-ticker.C:
			d.tick(ctx, time.Now(), step%2 == 0)
			step++
		}
	}
}

func (d *Daemon) tick(ctx context.Context, now time.Time, exchange bool) {
	d.applyList(now)
	d.table.Tick(now)
	d.members.SetDigests(now, d.table.Digests(now))
	d.members.SetStoreReachable(now, d.claims.StoreReachable())
	d.members.SetState(d.state(now))
	if version, address := d.members.NewestConfig(); version > d.ConfigVersion() {
		d.fetchFrom(address, version)
	}
	if exchange {
		d.exchange(ctx, now)
	}
	d.claims.Step(now)
}

// state returns what the exchanges announce. A router that was ready before is
// not starting again: while the store is away, routers that all lost each other
// for longer than the freshness limit could otherwise never agree again.
func (d *Daemon) state(now time.Time) rpc.RouterState {
	switch {
	case d.leaving.Load():
		return rpc.RouterState_ROUTER_STATE_LEAVING
	case d.Ready(now) == nil:
		d.wasReady.Store(true)
		return rpc.RouterState_ROUTER_STATE_READY
	case d.wasReady.Load():
		return rpc.RouterState_ROUTER_STATE_STALE
	}
	return rpc.RouterState_ROUTER_STATE_STARTING
}

// applyList passes the host list on to membership and admission.
func (d *Daemon) applyList(now time.Time) {
	if updated := d.poller.LastSuccess(); updated != d.listTime {
		d.listTime = updated
		var routers []member.Peer
		for _, h := range d.poller.Current().Routers() {
			routers = append(routers, member.Peer{
				ID: h.ID(), Address: h.Address(), FailureDomain: h.FailureDomain(), Region: h.Region(), Draining: h.Draining(),
			})
		}
		d.members.SetHostList(now, routers)
		d.listUpstreams(now)
	}
	for _, id := range d.table.Owned() {
		if h, ok := d.Lookup(id); ok {
			d.table.SetHost(now, upstream(h))
		}
	}
}

func upstream(h hosts.Host) owner.Upstream {
	return owner.Upstream{
		ID: h.ID(), Pool: h.Pool(), FailureDomain: h.FailureDomain(), Draining: h.Draining(),
		PublishesLoadReports: h.Kind() == hosts.KindEngine,
	}
}

// exchanged is the end of one exchange.
type exchanged struct {
	router  string
	address string
	sent    time.Time
	answer  *rpc.ExchangeResponse
	err     error
}

// exchange sends the heartbeat to the peers of this round. Each call reports
// its end to the control goroutine.
func (d *Daemon) exchange(ctx context.Context, now time.Time) {
	whole := d.members.NewRequest(now, d.claims.WantHoldOff(now))
	brief := member.WithoutIdentity(whole)
	for _, p := range d.members.Targets(now) {
		message := whole
		if d.members.KnowsIdentity(p.ID) {
			message = brief
		}
		go func() {
			call, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			e := exchanged{router: p.ID, address: p.Address, sent: time.Now()}
			e.answer, e.err = d.dialer.Client(p.Address).Exchange(call, message)
			select {
			case d.exchanges <- e:
			case <-ctx.Done():
			}
		}()
	}
}

func (d *Daemon) merge(now time.Time, e exchanged) {
	if e.err != nil {
		d.members.ExchangeFailed(e.router)
		d.log.WithFields(logrus.Fields{"event": "exchange", "peer": e.address, "error": e.err}).Debug("no answer to an exchange")
		return
	}
	d.members.HandleResponse(e.sent, now, e.address, e.answer)
}
