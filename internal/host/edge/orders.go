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
	// leastWait is the wait of a call for what has changed already; the store
	// answers at once.
	leastWait = time.Millisecond
	// rumourPeers is how many peers a router tells of a change that is news to it.
	// Each router hears of it about as often, so that one in 3,000 misses it and
	// reads it from the store.
	rumourPeers = 8
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
		watching := e.await(ctx, e.orders)
		if !watching {
			revision = 0
			if e.fetchOrders(ctx) {
				continue
			}
		}
		next, err := e.stepOrders(ctx, clock.Now(), revision)
		e.dependency("orders", err)
		if watching && err != nil {
			// The store may turn away this router only.
			e.fetchOrders(ctx)
		}
		e.afterCall(ctx, digest.OperatorState, err)
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
	e.adoptOrders(orders, sent, at, "store")
	return at, nil
}

// adoptOrders puts orders into force that were the newest at the instant sent,
// with all changes up to a revision.
func (e *Edge) adoptOrders(orders Orders, sent clock.Instant, at uint64, from string) {
	if orders.Table != nil && e.authority.Adopt(orders.Table) {
		e.log.WithFields(logrus.Fields{
			"config": orders.Table.Version(), "revision": at, "read_ms": clock.Since(sent).Milliseconds(), "from": from, "bytes": len(orders.Document),
		}).Info("configuration in force")
	}
	if e.directory.SetEvacuated(orders.Evacuated) {
		e.log.WithFields(logrus.Fields{"domains": orders.Evacuated, "revision": at}).Info("evacuated failure domains changed")
	}
	e.relay.keep(orders.Document, at)
	e.confirmOrders(sent)
	e.learned()
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
	e.board.SetConfirmation(digest.OperatorState, e.orders.set(digest.Confirmation{Hash: hash.Sum64(), Confirmed: sent}))
}

// followUpstreams keeps the directory up to date.
func (e *Edge) followUpstreams(ctx context.Context) error {
	away := false
	for ctx.Err() == nil {
		watching := e.await(ctx, e.upstreams)
		err := e.stepUpstreams(ctx, watching, away)
		e.dependency("upstreams", err)
		if errors.Is(err, ErrCompacted) {
			e.upstreams.forget()
		}
		away = err != nil && (away || !errors.Is(err, ErrCompacted))
		e.afterCall(ctx, digest.Upstreams, err)
		if watching && err == nil {
			clock.Sleep(ctx, upstreamsPause)
		}
	}
	return ctx.Err()
}

// stepUpstreams makes one call that brings the directory up to date; a watching
// router waits for changes. away tells that the store did not answer the call
// before.
func (e *Edge) stepUpstreams(ctx context.Context, watching, away bool) error {
	sent := clock.Now()
	after := e.upstreams.revision()
	if after == 0 {
		entries, at, err := e.store.Upstreams(ctx)
		if err != nil {
			return err
		}
		e.returned(away)
		e.logChanges(e.directory.Replace(clock.Now(), entries, at), at)
		e.listed.Store(true)
		e.learned()
		e.confirmUpstreams(sent, at)
		return nil
	}
	wait := leastWait
	if watching {
		wait = upstreamsWait
	}
	updates, at, err := e.store.AwaitUpstreams(ctx, after, wait)
	if err != nil {
		return err
	}
	e.returned(away)
	if news := e.apply(clock.Now(), updates); watching {
		e.spread(news)
	}
	e.confirmUpstreams(sent, at)
	return nil
}

// returned notes that the store answers again after it did not.
func (e *Edge) returned(away bool) {
	if away {
		e.directory.StoreReturned(clock.Now())
	}
}

// apply applies changes and returns those that were news.
func (e *Edge) apply(now clock.Instant, updates []directory.Update) []directory.Update {
	if len(updates) == 0 {
		return nil
	}
	changes, news := e.directory.Apply(now, updates)
	e.logChanges(changes, updates[len(updates)-1].Revision)
	return news
}

// spread tells some peers of changes; those for whom they are news tell others.
func (e *Edge) spread(news []directory.Update) {
	if len(news) == 0 {
		return
	}
	datagrams, err := digest.EncodeUpdates(news)
	if err != nil {
		e.log.WithError(err).Warn("changes of upstreams not told to peers")
		return
	}
	for _, address := range e.board.SampleAddresses(clock.Now(), rumourPeers) {
		for _, content := range datagrams {
			e.send(address, content)
		}
	}
}

// hearRumours applies changes that a peer has told.
func (e *Edge) hearRumours(now clock.Instant, content []byte) {
	updates, err := digest.DecodeUpdates(content)
	if err != nil {
		e.counters.Add("rumours_malformed", 1)
		return
	}
	if news := e.apply(now, updates); len(news) > 0 {
		e.board.SetConfirmation(digest.Upstreams, e.upstreams.setHash(e.directory.Hash()))
		e.spread(news)
	}
}

// confirmUpstreams notes that the directory holds all changes up to a revision,
// as of an instant.
func (e *Edge) confirmUpstreams(sent clock.Instant, revision uint64) {
	e.board.SetConfirmation(digest.Upstreams, e.upstreams.set(digest.Confirmation{Hash: e.directory.Hash(), Revision: revision, Confirmed: sent}))
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
		limit = max(limit, time.Duration(len(e.board.LiveRouters(clock.Now())))*routerPause)
	}
	clock.Sleep(ctx, min(retryPause<<min(e.failures.Add(1)-1, 8), limit))
}
