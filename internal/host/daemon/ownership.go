package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// handoverTimeout bounds the transfer of one upstream's state. The claim is
// released afterwards even if the transfer failed.
const handoverTimeout = 2 * time.Second

func (d *Daemon) newClaims() *claim.Claims {
	self := claim.Self{
		ID: d.settings.ID(), BootID: d.bootID, Address: d.settings.RoutersAddress(),
		FailureDomain: d.settings.FailureDomain(), Region: d.settings.Region(),
	}
	return claim.New(claimStore{d.store}, self, d.members, ownershipHandler{d})
}

// ownershipHandler applies changes of ownership to the owner table. It implements
// claim.OwnershipHandler; its methods run on the control goroutine.
type ownershipHandler struct{ d *Daemon }

func (o ownershipHandler) logEntry(name, id string, fencing uint64) *logrus.Entry {
	return o.d.log.WithFields(logrus.Fields{"event": name, "upstream": id, "fencing": fencing})
}

// Gained starts admission at an upstream. It ignores upstreams that are not in the
// host list.
func (o ownershipHandler) Gained(now time.Time, id string, fencing uint64, handover *rpc.HandoverRequest, first bool) {
	h, ok := o.d.Lookup(id)
	if !ok {
		o.logEntry("own-unlisted", id, fencing).Warn("gained an upstream that is not in the host list")
		return
	}
	if first {
		o.d.ownerTable.TakeUnowned(now, ownerUpstream(h), fencing)
	} else {
		o.d.ownerTable.TakeOwnership(now, ownerUpstream(h), fencing, handover)
	}
	o.d.owned.set(id, ownedUpstream{fencing: fencing, since: now})
	o.logEntry("own", id, fencing).WithFields(logrus.Fields{"handover": handover != nil, "first": first}).Info("upstream owned")
}

// FencingChanged continues admission under a new fencing token.
func (o ownershipHandler) FencingChanged(now time.Time, id string, fencing uint64) {
	if !o.d.ownerTable.UpdateFencing(id, fencing) {
		return
	}
	o.d.owned.set(id, ownedUpstream{fencing: fencing, since: now})
	o.logEntry("own-renew", id, fencing).Info("upstream owned under a new fencing token")
}

// Lost stops admission at an upstream.
func (o ownershipHandler) Lost(now time.Time, id string) {
	o.d.owned.remove(id)
	o.d.ownerTable.DropOwnership(now, id)
	o.logEntry("lost", id, 0).Warn("upstream no longer owned")
}

// StartHandover stops admission and queues the state for the next owner.
func (o ownershipHandler) StartHandover(now time.Time, id string, to membership.Peer) {
	o.d.owned.remove(id)
	state, ok := o.d.ownerTable.Handover(now, id)
	if !ok {
		o.d.claims.FinishHandover(now, id, false)
		return
	}
	o.d.handovers <- handover{state: state, nextOwner: to}
}

// handover is the state of an upstream that is to be sent to its next owner.
type handover struct {
	state     *rpc.HandoverRequest
	nextOwner membership.Peer
}

// runHandovers sends queued handovers concurrently, since each may wait for an
// unresponsive peer until its timeout.
func (d *Daemon) runHandovers(ctx context.Context) error {
	done := make(chan struct{})
	running := 0
	for {
		select {
		case h := <-d.handovers:
			running++
			go func() {
				d.sendHandover(ctx, h)
				done <- struct{}{}
			}()
		case <-done:
			running--
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-done
			}
			return ctx.Err()
		}
	}
}

// sendHandover sends a handover and reports the outcome to the claims.
func (d *Daemon) sendHandover(ctx context.Context, h handover) {
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	r, err := d.peerClients.Client(h.nextOwner.Address).Handover(callCtx, h.state)
	accepted := err == nil && r.Accepted
	ownershipHandler{d}.logEntry("handover", h.state.Upstream, h.state.Fencing).WithFields(logrus.Fields{"to": h.nextOwner.ID, "accepted": accepted, "error": err}).Info("upstream handed over")
	// An error means that the daemon has stopped; its lease then expires.
	_ = d.callOnControl(ctx, func(now time.Time) { d.claims.FinishHandover(now, h.state.Upstream, accepted) })
}

// acceptHandover offers a handover from an upstream's owner to the claims and
// reports whether they accept it. It runs on the control goroutine.
func (d *Daemon) acceptHandover(now time.Time, r *rpc.HandoverRequest) bool {
	accepted := d.claims.AcceptHandover(now, r)
	ownershipHandler{d}.logEntry("handover-offer", r.Upstream, r.Fencing).WithFields(logrus.Fields{"from": r.Router, "accepted": accepted}).Info("handover offered")
	return accepted
}

// updateClaimUpstreams passes the upstreams of the host list to the claims.
func (d *Daemon) updateClaimUpstreams(now time.Time) {
	var list []claim.Upstream
	for _, h := range d.poller.Current().Hosts() {
		if h.Kind() != hosts.KindRouter {
			list = append(list, claim.Upstream{ID: h.ID(), FailureDomain: h.FailureDomain(), Region: h.Region()})
		}
	}
	d.claims.SetUpstreams(now, list)
}
