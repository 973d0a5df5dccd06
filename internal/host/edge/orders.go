package edge

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

const (
	// ordersWait is how long a call waits for a change of the operators' orders.
	// Each call that returns confirms the configuration, and two that are lost
	// in a row fit in the time for which a confirmation holds.
	ordersWait = 500 * time.Millisecond
	// upstreamsWait is how long a call waits for a change of the upstreams.
	upstreamsWait = 400 * time.Millisecond
	// upstreamsPause gathers the heartbeats of many upstreams in one call.
	upstreamsPause = 400 * time.Millisecond
	// retryPause is the pause after a failed call to the store. It doubles up to
	// a limit: minPause for the routers that follow a topic for the others, and
	// routerPause for each live router for the rest, so that the calls of the
	// fleet do not grow with it.
	retryPause  = 150 * time.Millisecond
	minPause    = 300 * time.Millisecond
	routerPause = 22 * time.Millisecond
)

// followOrders keeps the configuration and the failure domains that are out of
// service up to date.
func (e *Edge) followOrders(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		if e.await(ctx, e.orders) {
			revision = 0
		}
		next, err := e.stepOrders(ctx, clock.Now(), revision)
		e.dependency("orders", err)
		e.afterCall(ctx, digest.Orders, err)
		revision = next
	}
	return ctx.Err()
}

// stepOrders makes one call for the orders after a revision, 0 to read them
// whole, and returns the revision that it is up to date with.
func (e *Edge) stepOrders(ctx context.Context, sent clock.Instant, revision uint64) (uint64, error) {
	if revision != 0 {
		changed, at, err := e.store.AwaitOrders(ctx, revision, ordersWait)
		if err != nil {
			return 0, err
		}
		if !changed {
			e.confirmOrders(sent)
			return at, nil
		}
		sent = clock.Now()
	}
	orders, at, err := e.store.Orders(ctx)
	if err != nil {
		return 0, err
	}
	if orders.Table != nil && e.authority.Adopt(orders.Table) {
		e.log.WithFields(logrus.Fields{
			"config": orders.Table.Version(), "revision": at, "read_ms": clock.Since(sent).Milliseconds(),
		}).Info("configuration in force")
	}
	if e.directory.SetEvacuated(orders.Evacuated) {
		e.log.WithFields(logrus.Fields{"domains": orders.Evacuated, "revision": at}).Info("evacuated failure domains changed")
	}
	e.confirmOrders(sent)
	return at, nil
}

// confirmOrders notes that the present orders are the newest as of an instant.
// That operators have not written a configuration yet is a state like others.
func (e *Edge) confirmOrders(sent clock.Instant) {
	version := "none"
	if t := e.authority.Table(); t != nil {
		e.authority.Confirm(sent)
		version = strconv.FormatUint(t.Version(), 10)
	}
	hash := xxhash.New()
	// Digest.WriteString never returns an error.
	_, _ = hash.WriteString(version)
	for _, domain := range e.directory.Evacuated() {
		_, _ = hash.WriteString("/" + domain)
	}
	e.board.SetMark(digest.Orders, e.orders.set(digest.Mark{Hash: hash.Sum64(), Confirmed: sent}))
}

// followUpstreams keeps the directory up to date.
func (e *Edge) followUpstreams(ctx context.Context) error {
	var revision uint64
	away := false
	for ctx.Err() == nil {
		if e.await(ctx, e.upstreams) {
			revision = 0
		}
		next, err := e.stepUpstreams(ctx, revision, away)
		e.dependency("upstreams", err)
		away = err != nil && (away || !errors.Is(err, ErrCompacted))
		e.afterCall(ctx, digest.Upstreams, err)
		if revision != 0 && err == nil {
			pause(ctx, upstreamsPause)
		}
		revision = next
	}
	return ctx.Err()
}

// stepUpstreams makes one call for the upstreams after a revision, 0 to list
// them, and returns the revision that the directory is up to date with. away
// tells that the store did not answer the call before.
func (e *Edge) stepUpstreams(ctx context.Context, revision uint64, away bool) (uint64, error) {
	sent := clock.Now()
	if revision == 0 {
		entries, at, err := e.store.Upstreams(ctx)
		if err != nil {
			return 0, err
		}
		now := clock.Now()
		if away {
			e.directory.Outage(now)
		}
		e.logChanges(e.directory.Replace(now, entries, at), at)
		e.listed.Store(true)
		e.confirmUpstreams(sent)
		return at, nil
	}
	changes, at, err := e.store.AwaitUpstreams(ctx, revision, upstreamsWait)
	if err != nil {
		return 0, err
	}
	now := clock.Now()
	for _, c := range changes {
		if e.apply(now, c) && e.watches(digest.Upstreams) {
			e.spread(now, c)
		}
	}
	e.confirmUpstreams(sent)
	return at, nil
}

// apply applies one change and reports whether the directory differs by it.
func (e *Edge) apply(now clock.Instant, c UpstreamChange) bool {
	before := e.directory.Hash()
	var changes []directory.Change
	if c.Entry == nil {
		changes = e.directory.Remove(now, c.ID, c.Revision)
	} else {
		changes = e.directory.Put(now, *c.Entry)
	}
	e.logChanges(changes, c.Revision)
	return e.directory.Hash() != before
}

// confirmUpstreams notes that the directory is up to date as of an instant.
func (e *Edge) confirmUpstreams(sent clock.Instant) {
	e.board.SetMark(digest.Upstreams, e.upstreams.set(digest.Mark{Hash: e.directory.Hash(), Confirmed: sent}))
}

// afterCall pauses after a failed call, longer with each failure in a row for
// any topic. A cut history is no failure of the store.
func (e *Edge) afterCall(ctx context.Context, t digest.Topic, err error) {
	if err == nil || errors.Is(err, ErrCompacted) {
		e.failures.Store(0)
		return
	}
	limit := minPause
	if !e.watches(t) {
		limit = max(limit, time.Duration(len(e.board.Routers(clock.Now())))*routerPause)
	}
	pause(ctx, min(retryPause<<min(e.failures.Add(1)-1, 8), limit))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
