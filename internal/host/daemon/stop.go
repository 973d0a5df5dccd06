package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// errStop ends the run group after a graceful shutdown.
var errStop = errors.New("stopped")

const (
	// handoversTimeout bounds the wait for all handovers. Claims that remain
	// expire with the lease.
	handoversTimeout     = 10 * time.Second
	handoverPollInterval = 50 * time.Millisecond
)

// awaitStop waits until signalCtx ends and then shuts down in an order that cuts
// off no request: it starts the handover of owned upstreams, waits until the
// platform's load balancer has noticed, lets open requests finish, and stops the
// servers for routers and operators last.
func (d *Daemon) awaitStop(signalCtx, groupCtx context.Context, s httpServers) error {
	select {
	case <-signalCtx.Done():
	case <-groupCtx.Done():
		return groupCtx.Err()
	}
	d.draining.Store(true)
	d.log.WithFields(logrus.Fields{"event": "stop", "open": d.openRequests.Load()}).Info("graceful shutdown started")
	if err := d.callOnControl(groupCtx, func(time.Time) { d.claims.Drain() }); err != nil {
		return err
	}
	if !clock.Sleep(groupCtx, d.settings.BalancerLag()) {
		return groupCtx.Err()
	}
	ctx, cancel := context.WithTimeout(groupCtx, d.settings.StopTimeout())
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-cut", "open": d.openRequests.Load(), "error": err}).Error("requests still open at the stop timeout")
	}
	// Calls that cancel the requests of disconnected callers may still be in flight.
	if err := d.engines.WaitForCancels(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-cancel", "error": err}).Warn("cancel calls still in flight at the stop timeout")
	}
	d.awaitHandovers(groupCtx)
	d.grantClient.Flush(groupCtx)
	// Until here peers may still send releases of grants that this router issued.
	if err := s.routers.Shutdown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-routers", "error": err}).Warn("connections of routers still open at the stop timeout")
	}
	return s.operators.Shutdown(ctx)
}

// awaitHandovers waits until all owned upstreams are handed over or released, or
// handoversTimeout has passed.
func (d *Daemon) awaitHandovers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoversTimeout)
	defer cancel()
	for drained := false; !drained; {
		if err := d.callOnControl(ctx, func(time.Time) { drained = d.claims.Drained() }); err != nil {
			d.log.WithFields(logrus.Fields{"event": "stop-handover", "owned": len(d.ownerTable.Owned())}).Warn("upstreams left without a handover")
			return
		}
		if !drained {
			clock.Sleep(ctx, handoverPollInterval)
		}
	}
}
