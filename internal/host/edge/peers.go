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
	// leaseLifetime is how long a router that died stays listed.
	leaseLifetime = 6 * time.Second
	// renewInterval leaves two tries before the lease ends.
	renewInterval = 2 * time.Second
	// digestInterval is how often counts go to peers; at 9 routers it costs
	// about 1 KB/s each.
	digestInterval = 200 * time.Millisecond
	// peerInterval bounds a router's datagrams to 200 a second in a large fleet.
	peerInterval = 5 * time.Millisecond
)

// register lists this router among the peers and reads the list.
func (e *Edge) register(ctx context.Context) error {
	var lease uint64
	for ctx.Err() == nil {
		var err error
		lease, err = e.stepRegister(ctx, lease)
		e.dependency("peers", err)
		pause(ctx, renewInterval)
	}
	if lease != 0 {
		// The run group's context is over; the call has its own time-out.
		if err := e.store.Leave(context.WithoutCancel(ctx), lease); err != nil {
			e.log.WithError(err).Warn("lease not ended, it lapses by itself")
		}
	}
	return ctx.Err()
}

func (e *Edge) stepRegister(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 {
		err := e.store.Renew(ctx, lease)
		switch {
		case errors.Is(err, ErrNoLease):
			lease = 0
		case err != nil:
			return lease, err
		}
	}
	if lease == 0 {
		next, err := e.store.Lease(ctx, leaseLifetime)
		if err != nil {
			return 0, err
		}
		if err := e.store.Register(ctx, next, e.settings.Name, e.settings.Peers); err != nil {
			return 0, err
		}
		lease = next
	}
	routers, err := e.store.Routers(ctx)
	if err != nil {
		return lease, err
	}
	first := !e.peersListed.Swap(true)
	if e.board.SetPeers(clock.Now(), routers) || first {
		e.orders.membersChanged()
		e.upstreams.membersChanged()
		e.log.WithField("routers", len(routers)).Info("peers changed")
	}
	return lease, nil
}

// receiveDigests reads the counts of peers.
func (e *Edge) receiveDigests(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buffer := make([]byte, digest.MaxDatagram+1)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
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
		now := clock.Now()
		if n > 0 && buffer[0] == changesFormat {
			e.hearChanges(now, buffer[1:n])
			continue
		}
		heard, err := e.board.Receive(now, buffer[:n])
		if err != nil {
			e.counters.Add("digests_malformed", 1)
		}
		e.hear(now, heard)
	}
}

func (e *Edge) send(address string, content []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address of a peer: %w", err)
	}
	_, err = e.socket.WriteToUDPAddrPort(content, to)
	return err
}

// hear takes in what a peer tells.
func (e *Edge) hear(now clock.Instant, h digest.Heard) {
	for _, s := range h.Seen() {
		e.health.Told(now, s)
	}
	for _, u := range h.Uses() {
		e.holders.Used(now, u)
	}
	if m := h.Mark(digest.Orders); e.orders.hear(now, m) {
		e.authority.Confirm(m.Confirmed)
	}
	e.upstreams.hear(now, h.Mark(digest.Upstreams))
}

// sendDigests sends this router's counts to all peers.
func (e *Edge) sendDigests(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, max(digestInterval, time.Duration(len(e.board.Routers(clock.Now())))*peerInterval))
		now := clock.Now()
		changes := e.changeDatagrams(now)
		e.board.TellSeen(e.health.News())
		for _, l := range e.board.Letters(now) {
			for _, content := range append(changes, l.Content()) {
				if err := e.send(l.Address(), content); err != nil {
					e.counters.Add("digests_unsent", 1)
				}
			}
		}
	}
	return ctx.Err()
}
