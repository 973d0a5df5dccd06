package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
)

const (
	// crowdPeers bounds the peers that are told of a crowded upstream.
	crowdPeers = 128
	// leaseLifetime is how long a router that died stays listed.
	leaseLifetime = 10 * time.Second
	// renewInterval leaves two tries before the lease ends.
	renewInterval = 3 * time.Second
	// listEvery is how many renewals pass between two listings. New routers
	// introduce themselves by datagrams, so a listing only finds those whose
	// datagrams are lost.
	listEvery = 2
	// firstListing is how long after its registration a router lists the others
	// for the first time; the routers of a fleet start within 0.3 s.
	firstListing = 500 * time.Millisecond
	// registerPause is the pause after a failed registration.
	registerPause = time.Second
)

// register lists this router among the peers and reads the list.
func (e *Edge) register(ctx context.Context) error {
	var lease uint64
	for step := 0; ctx.Err() == nil; {
		var err error
		if lease, err = e.renew(ctx, lease); err == nil && step == 0 {
			clock.Sleep(ctx, firstListing)
		}
		if err == nil && step%listEvery == 0 {
			err = e.listPeers(ctx)
		}
		e.dependency("peers", err)
		if err == nil {
			step++
		}
		if step == 0 {
			clock.Sleep(ctx, registerPause)
			continue
		}
		clock.Sleep(ctx, renewInterval)
	}
	if lease != 0 {
		// The run group's context is over; the call has its own time-out.
		if err := e.store.Leave(context.WithoutCancel(ctx), lease); err != nil {
			e.log.WithError(err).Warn("lease not ended, it lapses by itself")
		}
	}
	return ctx.Err()
}

// renew keeps this router listed, under a new lease if the last one has ended,
// and returns the lease, 0 if there is none.
func (e *Edge) renew(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 {
		err := e.store.Renew(ctx, lease)
		if !errors.Is(err, ErrNoLease) {
			return lease, err
		}
	}
	next, err := e.store.Lease(ctx, leaseLifetime)
	if err != nil {
		return 0, err
	}
	if err := e.store.Register(ctx, next, e.settings.Name(), e.settings.Peers()); err != nil {
		return 0, err
	}
	return next, nil
}

// listPeers reads the list of routers. The first list must not be old, since a
// router that knows no peers follows the store itself.
func (e *Edge) listPeers(ctx context.Context) error {
	first := !e.peersListed.Load()
	routers, err := e.store.Routers(ctx, first)
	if err != nil {
		return err
	}
	e.peersListed.Store(true)
	if e.board.SetPeers(clock.Now(), routers) || first {
		e.log.WithField("routers", len(routers)).Info("peers changed")
	}
	return nil
}

// receiveDigests reads the counts of peers.
func (e *Edge) receiveDigests(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buffer := make([]byte, digest.MaxDatagram+1)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) {
				continue
			}
			return fmt.Errorf("receive digests: %w", err)
		}
		e.counters.Add("digest_bytes_received", int64(n))
		now := clock.Now()
		if digest.IsUpdates(buffer[:n]) {
			e.hearRumours(now, buffer[:n])
			continue
		}
		if digest.IsOverloadNotice(buffer[:n]) {
			e.board.ApplyOverloadNotice(now, buffer[:n])
			continue
		}
		heard, err := e.board.Receive(now, from.String(), buffer[:n])
		if err != nil {
			e.counters.Add("digests_malformed", 1)
		}
		e.hear(now, from.String(), heard)
		if l, ok := e.board.Reply(now, heard.ReplyTo()); ok {
			e.send(l.Address(), l.Content())
		}
	}
}

// send sends a datagram to a peer. What cannot be sent is counted: the next
// datagram tells the same.
func (e *Edge) send(address string, content []byte) {
	to, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = e.socket.WriteToUDPAddrPort(content, to)
	}
	if err != nil {
		e.counters.Add("digests_unsent", 1)
		return
	}
	e.counters.Add("digest_bytes_sent", int64(len(content)))
}

// crowded tells peers of an upstream whose stated load exceeds the bound, since
// their counts show that too late.
func (e *Edge) crowded(upstream uint64) {
	now := clock.Now()
	content := e.board.OverloadNotice(now, upstream)
	if content == nil {
		return
	}
	e.counters.Add("crowds_told", 1)
	for _, address := range e.board.SampleAddresses(now, crowdPeers) {
		e.send(address, content)
	}
}

// hear takes in what a peer tells.
func (e *Edge) hear(now clock.Instant, from string, h digest.Message) {
	for _, s := range h.Outcomes() {
		e.health.Told(now, s)
	}
	for _, u := range h.Uses() {
		e.holders.Used(now, u)
	}
	if m := h.Confirmation(digest.OperatorState); e.orders.hear(now, from, m) {
		e.authority.Confirm(m.Confirmed)
	}
	e.upstreams.hear(now, from, h.Confirmation(digest.Upstreams))
}

// sendDigests sends this router's counts to the peers whose turn it is.
func (e *Edge) sendDigests(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, digest.SendInterval)
		now := clock.Now()
		e.board.QueueOutcomes(e.health.News())
		letters := e.board.NextRound(now)
		names, others := e.asked(now)
		letters = append(letters, e.board.Queries(now, names, others)...)
		for _, l := range letters {
			e.send(l.Address(), l.Content())
		}
	}
	return ctx.Err()
}
