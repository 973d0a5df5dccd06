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
	// handoverWait bounds the wait for all handovers; leases that are left
	// expire by themselves.
	handoverWait = 10 * time.Second
	stopPoll     = 50 * time.Millisecond
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
	d.leaving.Store(true)
	d.log.WithFields(logrus.Fields{"event": "stop", "open": d.open.Load()}).Info("router stops gracefully")
	if err := d.control(group, func(time.Time) { d.claims.Drain() }); err != nil {
		return err
	}
	if !clock.Sleep(group, d.settings.BalancerLag()) {
		return group.Err()
	}
	ctx, cancel := context.WithTimeout(group, d.settings.StopTimeout())
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-cut", "open": d.open.Load(), "error": err}).Error("requests still open at the stop timeout")
	}
	// Cancel calls of requests whose callers had gone are still on their way.
	if err := d.engines.WaitForCancels(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-cancel", "error": err}).Warn("cancel calls still open")
	}
	d.awaitHandover(group)
	d.grants.Flush(group)
	// Peers may still send the releases of what they ran here.
	if err := s.routers.Shutdown(ctx); err != nil {
		d.log.WithFields(logrus.Fields{"event": "stop-routers", "error": err}).Warn("connections of routers still open")
	}
	return s.operators.Shutdown(ctx)
}

// awaitHandover waits until this router owns nothing.
func (d *Daemon) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	for left := false; !left; {
		if err := d.control(ctx, func(time.Time) { left = d.claims.Drained() }); err != nil {
			d.log.WithFields(logrus.Fields{"event": "stop-handover", "owned": len(d.table.Owned())}).Warn("upstreams left without a handover")
			return
		}
		if !left {
			clock.Sleep(ctx, stopPoll)
		}
	}
}
