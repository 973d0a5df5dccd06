package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
)

const (
	// overloadFanout limits the peers that an overload notice is sent to.
	overloadFanout = 128
	// leaseTTL is how long a router remains listed after its last renewal.
	leaseTTL = 10 * time.Second
	// renewInterval allows two attempts before the lease expires.
	renewInterval = 3 * time.Second
	// renewalsPerListing is the number of renewals per listing of the routers.
	// New routers become known by their datagrams, so a listing only finds those
	// whose datagrams are lost.
	renewalsPerListing = 2
	// firstListingDelay is the time from the registration of a router to its
	// first listing of the others. The routers of a fleet start within 0.3 s.
	firstListingDelay = 500 * time.Millisecond
	// revokeTimeout limits the last call of a process. It is shorter than exitMargin,
	// so that a silent store does not keep the process until it is killed.
	revokeTimeout = 300 * time.Millisecond
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = time.Second
	// renewJitterDivisor is the part of renewInterval by which renewals are shortened
	// at random, so that those of routers that started together spread.
	renewJitterDivisor = 6
)

// registration is this router's entry in the list of routers.
type registration struct {
	// lease is the lease of the entry, 0 if there is none.
	lease uint64
	// confirmed is set once the store has confirmed the entry.
	confirmed bool
}

// maintainRegistration keeps this router registered and lists its peers
// periodically. It revokes the lease at the end.
func (e *Edge) maintainRegistration(ctx context.Context) error {
	e.listPeersFirst(ctx)
	var r registration
	for renewals := 0; ctx.Err() == nil; {
		err := e.renewRegistration(ctx, &r)
		if err == nil && renewals == 0 {
			clock.Sleep(ctx, firstListingDelay)
		}
		if err == nil && renewals%renewalsPerListing == 0 {
			err = e.listPeers(ctx)
		}
		e.logDependency("peers", err)
		if err == nil {
			renewals++
		}
		if renewals == 0 {
			clock.Sleep(ctx, withJitter(registerRetryDelay))
			continue
		}
		clock.Sleep(ctx, renewInterval-rand.N(renewInterval/renewJitterDivisor))
	}
	if r.lease != 0 {
		// ctx is done.
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
		defer cancel()
		if err := e.store.RevokeLease(revokeCtx, r.lease); err != nil {
			e.log.WithError(err).Warn("lease not revoked; it will expire")
		}
	}
	return ctx.Err()
}

// renewRegistration renews the lease, or registers this router under a new one if
// it has expired. A registration without a response may have taken effect, so its
// lease is kept for the next attempt and for the end.
func (e *Edge) renewRegistration(ctx context.Context, r *registration) error {
	if r.confirmed {
		err := e.store.RenewLease(ctx, r.lease)
		if !errors.Is(err, ErrNoLease) {
			return err
		}
		*r = registration{}
	}
	if r.lease == 0 {
		lease, err := e.store.GrantLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	err := e.store.RegisterRouter(ctx, r.lease, e.settings.Name(), e.settings.PeersAddress())
	if errors.Is(err, ErrNoLease) {
		*r = registration{}
	}
	r.confirmed = err == nil
	return err
}

// listPeers updates the list of routers. If the first list has no other router, it
// may be older than the fleet, so a fresh one is read: a router without known peers
// reads the store itself.
func (e *Edge) listPeers(ctx context.Context) error {
	first := !e.peersListed.Load()
	list, err := e.store.ListRouters(ctx, false)
	if err == nil && first && !e.listsOthers(list.Addresses) {
		list, err = e.store.ListRouters(ctx, true)
	}
	if err != nil {
		return err
	}
	e.peersListed.Store(true)
	e.loadQuarantine(list.Quarantine)
	for _, record := range list.Rollouts {
		e.rollouts.Adopt(clock.Now(), record, time.Now())
	}
	if e.gossipState.SetPeers(clock.Now(), list.Addresses) || first {
		e.log.WithField("routers", len(list.Addresses)).Info("peers changed")
	}
	return nil
}

// listsOthers reports whether a list has a router other than this one.
func (e *Edge) listsOthers(routers map[string]string) bool {
	for name := range routers {
		if name != e.settings.Name() {
			return true
		}
	}
	return false
}

// receiveDatagrams receives and applies datagrams of peers and replies to
// queries.
func (e *Edge) receiveDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buffer := make([]byte, gossip.MaxDatagram+1)
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
		e.receive(clock.Now(), from.String(), buffer[:n])
	}
}

// receive applies a datagram of the peer at an address.
func (e *Edge) receive(now clock.Instant, from string, content []byte) {
	e.countTraffic(trafficReceived, from, content)
	switch {
	case e.receiveSmall(now, from, content):
	case gossip.IsUpdates(content):
		e.receiveUpdates(now, content)
	case gossip.IsOverloadNotice(content):
		e.gossipState.ApplyOverloadNotice(now, content)
	case gossip.IsRollout(content):
		e.receiveRollout(now, content)
	case gossip.IsSlowness(content):
		e.latency.MergePeer(now, gossip.DecodeSlowness(content))
	case gossip.IsPromptNotices(content):
		e.receivePromptNotices(now, content)
	case gossip.IsFacts(content):
		e.receiveFacts(now, content)
	default:
		e.receiveDigest(now, from, content)
	}
}

// receiveDigest applies a digest datagram of a peer and replies to a query.
func (e *Edge) receiveDigest(now clock.Instant, from string, content []byte) {
	message, err := e.gossipState.Receive(now, from, content)
	if err != nil {
		e.counters.Add("digests_malformed", 1)
		return
	}
	e.applyMessage(now, from, message)
	if message.Introduced() {
		e.send(from, e.gossipState.Introduction(false))
		e.sendFacts(e.quarantine.Snapshot(now), []string{from})
	}
	if reply, ok := e.gossipState.Reply(now, message.ReplyTo()); ok {
		e.send(reply.Address(), reply.Content())
	}
}

// send sends a datagram to a peer. A failure is only counted, since the next
// datagram carries the same information.
func (e *Edge) send(address string, content []byte) {
	if err := e.transmit(address, content); err != nil {
		e.counters.Add("digests_unsent", 1)
		return
	}
	e.countTraffic(trafficSent, address, content)
}

// writeDatagram writes a datagram to the socket.
func (e *Edge) writeDatagram(address string, content []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address of a peer: %w", err)
	}
	if _, err = e.socket.WriteToUDPAddrPort(content, to); err != nil {
		return fmt.Errorf("send to a peer: %w", err)
	}
	return nil
}

// announceOverload notifies peers of an upstream whose reported load exceeds the
// bound, since their counts would show that too late.
func (e *Edge) announceOverload(upstream uint64) {
	now := clock.Now()
	content := e.gossipState.OverloadNotice(now, upstream)
	if content == nil {
		return
	}
	e.counters.Add("crowds_told", 1)
	for _, address := range e.gossipState.SampleAddresses(now, overloadFanout) {
		e.send(address, content)
	}
}

// applyMessage applies the content of a peer's digest datagram.
func (e *Edge) applyMessage(now clock.Instant, from string, m gossip.Message) {
	for _, outcome := range m.Outcomes() {
		e.health.MergePeer(now, outcome)
	}
	for _, location := range m.Locations() {
		e.prefixIndex.Add(now, location)
	}
	if confirmation := m.Confirmation(gossip.OperatorState); e.operatorStateTracker.observe(now, from, confirmation) {
		e.activeConfig.Confirm(confirmation.Confirmed)
	}
	confirmation := m.Confirmation(gossip.Upstreams)
	e.recordStoreReached(confirmation.Confirmed, true)
	e.upstreamsTracker.observe(now, from, confirmation)
	e.requestUpdates(now, from, confirmation)
	e.mergeShedding(now, m)
}

// sendDigests sends datagrams to the peers of each round, and queries to peers if
// the router's state has not been confirmed recently.
func (e *Edge) sendDigests(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, gossip.SendInterval)
		e.sendRound(clock.Now())
	}
	return ctx.Err()
}

// sendRound sends the datagrams of one round.
func (e *Edge) sendRound(now clock.Instant) {
	e.gossipState.QueueOutcomes(e.health.TakeOutcomes())
	e.setSheddingSection(now)
	datagrams := e.gossipState.NextRound(now)
	datagrams = append(datagrams, e.gossipState.Introductions(now, datagrams)...)
	names, others := e.peersToQuery(now)
	datagrams = append(datagrams, e.gossipState.Queries(now, names, others)...)
	for _, d := range datagrams {
		e.send(d.Address(), d.Content())
	}
	e.sendSlowness(now)
}
