package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
	"github.com/hemlockcroft/hemlockcroft/internal/router/member"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// handoverTimeout bounds the transfer of one upstream's state; the claim is
// given up after it in any case.
const handoverTimeout = 2 * time.Second

func (d *Daemon) newClaims() *claim.Claims {
	self := claim.Self{
		ID: d.settings.ID(), Boot: d.boot, Address: d.settings.Routers(),
		FailureDomain: d.settings.FailureDomain(), Region: d.settings.Region(),
	}
	return claim.New(claimStore{d.store}, self, d.members, ownership{d})
}

// ownership carries changes of ownership over to the admission table.
type ownership struct{ d *Daemon }

func (o ownership) event(name, id string, fencing uint64) *logrus.Entry {
	return o.d.log.WithFields(logrus.Fields{"event": name, "upstream": id, "fencing": fencing})
}

// Gained starts admission at an upstream.
func (o ownership) Gained(now time.Time, id string, fencing uint64, handover *rpc.HandoverRequest, first bool) {
	h, ok := o.d.Lookup(id)
	if !ok {
		o.event("own-unlisted", id, fencing).Warn("gained an upstream that is not in the host list")
		return
	}
	if first {
		o.d.table.TakeUnowned(now, upstream(h), fencing)
	} else {
		o.d.table.TakeOwnership(now, upstream(h), fencing, handover)
	}
	o.d.holdings.set(id, holding{fencing: fencing, since: now})
	o.event("own", id, fencing).WithFields(logrus.Fields{"handover": handover != nil, "first": first}).Info("upstream owned")
}

// FencingChanged goes on under a new fencing token.
func (o ownership) FencingChanged(now time.Time, id string, fencing uint64) {
	if !o.d.table.UpdateFencing(id, fencing) {
		return
	}
	o.d.holdings.set(id, holding{fencing: fencing, since: now})
	o.event("own-renew", id, fencing).Info("upstream owned under a new fencing token")
}

// Lost ends admission at an upstream.
func (o ownership) Lost(now time.Time, id string) {
	o.d.holdings.remove(id)
	o.d.table.DropOwnership(now, id)
	o.event("lost", id, 0).Warn("upstream no longer owned")
}

// StartHandover ends admission and sends the state to the next owner.
func (o ownership) StartHandover(now time.Time, id string, to member.Peer) {
	o.d.holdings.remove(id)
	state, ok := o.d.table.Handover(now, id)
	if !ok {
		o.d.claims.FinishHandover(now, id, false)
		return
	}
	o.d.handovers <- handover{state: state, to: to}
}

// handover is the state of an upstream on its way to the next owner.
type handover struct {
	state *rpc.HandoverRequest
	to    member.Peer
}

// runHandovers sends handovers, all that are due at once, since each may wait
// for a peer that does not answer.
func (d *Daemon) runHandovers(ctx context.Context) error {
	ends := make(chan struct{})
	open := 0
	for {
		select {
		case h := <-d.handovers:
			open++
			go func() {
				d.handOver(ctx, h)
				ends <- struct{}{}
			}()
		case <-ends:
			open--
		case <-ctx.Done():
			for ; open > 0; open-- {
				<-ends
			}
			return ctx.Err()
		}
	}
}

// handOver sends one state and tells the claims of the outcome.
func (d *Daemon) handOver(ctx context.Context, h handover) {
	call, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	r, err := d.dialer.Client(h.to.Address).Handover(call, h.state)
	accepted := err == nil && r.Accepted
	ownership{d}.event("handover", h.state.Upstream, h.state.Fencing).WithFields(logrus.Fields{"to": h.to.ID, "accepted": accepted, "error": err}).Info("upstream handed over")
	// The error means that the daemon has ended; its lease expires.
	_ = d.control(ctx, func(now time.Time) { d.claims.FinishHandover(now, h.state.Upstream, accepted) })
}

// acceptHandover takes over the state of an upstream from its owner. It runs on
// the control goroutine.
func (d *Daemon) acceptHandover(now time.Time, r *rpc.HandoverRequest) bool {
	accepted := d.claims.AcceptHandover(now, r)
	ownership{d}.event("handover-offer", r.Upstream, r.Fencing).WithFields(logrus.Fields{"from": r.Router, "accepted": accepted}).Info("handover offered")
	return accepted
}

// listUpstreams passes the host list on to the claims.
func (d *Daemon) listUpstreams(now time.Time) {
	var list []claim.Upstream
	for _, h := range d.poller.Current().Hosts() {
		if h.Kind() != hosts.KindRouter {
			list = append(list, claim.Upstream{ID: h.ID(), FailureDomain: h.FailureDomain(), Region: h.Region()})
		}
	}
	d.claims.SetUpstreams(now, list)
}
