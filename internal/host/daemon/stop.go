package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// errStop ends the run group after a graceful stop.
var errStop = errors.New("stopped")

const (
	// handoversTimeout bounds the wait for all handovers; leases that are left
	// expire by themselves.
	handoversTimeout     = 10 * time.Second
	handoverPollInterval = 50 * time.Millisecond
)

// awaitStop waits for the signal to stop and then stops in the order in which
// no request is cut off: the platform's load balancer notices first, owned
// upstreams go to other routers, open requests end, and the servers last.
func (d *Daemon) awaitStop(signal, group context.Context, s servers) error {
	select {
	case <-signal.Done():
	case <-group.Done():
		return group.Err()
	}
	d.draining.Store(true)
	d.log.WithFields(logrus.Fields{"event": "stop", "open": d.openRequests.Load()}).Info("router stops gracefully")
	if err := d.callOnControl(group, func(time.Time) { d.claims.Drain() }); err != nil {
		return err
	}
	if !clock.Sleep(group, d.settings.BalancerLag()) {
		return group.Err()
	}
	ctx, cancel := context.WithTimeout(group, d.settings.StopTimeout())
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-cut", "open": d.openRequests.Load(), "error": err}).Error("requests still open at the stop timeout")
	}
	// Cancel calls of requests whose callers had gone are still on their way.
	if err := d.engines.Wait(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-cancel", "error": err}).Warn("cancel calls still open")
	}
	d.awaitHandovers(group)
	d.grantClient.Flush(group)
	// Peers may still send the releases of what they ran here.
	if err := s.routers.Shutdown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-routers", "error": err}).Warn("connections of routers still open")
	}
	return s.operators.Shutdown(ctx)
}

// awaitHandovers waits until this router owns nothing.
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
