package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/weights"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

const (
	// CallTimeout bounds one order, so that it ends within a lease.
	CallTimeout = 4 * time.Second
	// firstWait and longestWait bound the wait after an order without an answer.
	// Weights of many GB load for minutes, and each try takes a slot of the fleet.
	firstWait   = 10 * time.Second
	longestWait = 5 * time.Minute
	// leaseMargin is left of the lease after an order to an engine that
	// ignores fencing tokens.
	leaseMargin = time.Second
)

var (
	// ErrNoLease means that the lease may end before the order does.
	ErrNoLease = errors.New("the lease may end before the order")
	// ErrSettling means that an earlier owner's lease may still be in force.
	ErrSettling = errors.New("an earlier owner may still give orders")
	// ErrNotTaken means that the engine accepted an order and did not follow it.
	ErrNotTaken = errors.New("the engine is not in the ordered state")
	// ErrNoAnswer means that an order is not repeated yet, since the engine may
	// still be carrying out one that it did not answer in time.
	ErrNoAnswer = errors.New("an order without an answer may still be in progress")
)

// Engines are the calls to engines that orders need.
type Engines interface {
	Orders(ctx context.Context, address string) (engine.Order, error)
	Order(ctx context.Context, address string, fencing uint64, o engine.Order) error
}

// Slots limit how many loads of weights the whole fleet starts.
type Slots interface {
	Acquire(ctx context.Context, now time.Time, slots int, interval time.Duration) (weights.Slot, error)
}

// Target is one owned engine and the state that it should have.
type Target struct {
	// Upstream names the engine and Address is its host:port.
	Upstream, Address string
	// Wanted is the desired state; empty fields may stay as they are.
	Wanted engine.Order
	// Fencing is the token of the claim and Since its time.
	Fencing uint64
	Since   time.Time
	// ChecksFencing is true if the engine rejects an older token.
	ChecksFencing bool
	// Slots and Interval are the fleet's rate of weight loads.
	Slots    int
	Interval time.Duration
}

// Reconciler gives the orders of one router.
type Reconciler struct {
	engines Engines
	slots   Slots
	// lease returns until when this router's lease is surely valid.
	lease func() time.Time
	// leaseTTL is the time after which an earlier owner's lease has ended.
	leaseTTL time.Duration
	clock    func() time.Time
	// unanswered holds the engines that did not answer an order, by upstream.
	unanswered map[string]wait
}

// wait is the time until which an order is not repeated.
type wait struct {
	until  time.Time
	length time.Duration
}

// New returns a reconciler; leaseTTL is the lifetime of any router's lease.
func New(engines Engines, slots Slots, lease func() time.Time, leaseTTL time.Duration, clock func() time.Time) *Reconciler {
	return &Reconciler{
		engines: engines, slots: slots, lease: lease, leaseTTL: leaseTTL, clock: clock, unanswered: map[string]wait{},
	}
}

// Step reads the engine's state and gives at most one order. It returns
// whether an order was given and followed.
func (r *Reconciler) Step(ctx context.Context, t Target) (bool, error) {
	present, err := r.engines.Orders(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("state of %s: %w", t.Upstream, err)
	}
	missing := difference(present, t.Wanted)
	if missing == (engine.Order{}) {
		delete(r.unanswered, t.Upstream)
		return false, nil
	}
	if r.clock().Before(r.unanswered[t.Upstream].until) {
		return false, fmt.Errorf("order to %s: %w", t.Upstream, ErrNoAnswer)
	}
	err = r.give(ctx, t, missing)
	r.noteAnswer(t.Upstream, err)
	if err != nil {
		return false, fmt.Errorf("order to %s: %w", t.Upstream, err)
	}
	after, err := r.engines.Orders(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("state of %s after the order: %w", t.Upstream, err)
	}
	if difference(after, t.Wanted) != (engine.Order{}) {
		return false, fmt.Errorf("order to %s: %w", t.Upstream, ErrNotTaken)
	}
	return true, nil
}

// noteAnswer doubles the wait for an engine that did not answer an order in
// time, and ends it for one that answered.
func (r *Reconciler) noteAnswer(upstream string, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		delete(r.unanswered, upstream)
		return
	}
	length := min(max(2*r.unanswered[upstream].length, firstWait), longestWait)
	r.unanswered[upstream] = wait{until: r.clock().Add(length), length: length}
}

// give takes a slot if weights are loaded and sends the order. Slot and lease
// are checked last, since taking a slot takes time. The lease is checked before
// as well: a slot is not given back, so an order that must wait would keep the
// whole fleet from loading.
func (r *Reconciler) give(ctx context.Context, t Target, o engine.Order) error {
	if err := allowed(t, r.clock(), r.lease(), r.leaseTTL); err != nil {
		return err
	}
	usable := func(time.Time) bool { return true }
	if loads(o) {
		slot, err := r.slots.Acquire(ctx, r.clock(), t.Slots, t.Interval)
		if err != nil {
			return err
		}
		usable = slot.Usable
	}
	now := r.clock()
	if !usable(now) {
		return weights.ErrNoFreeSlot
	}
	until := r.lease()
	if err := allowed(t, now, until, r.leaseTTL); err != nil {
		return err
	}
	// After a pause of this process the deadline has passed, so that a call
	// that has not been sent yet is dropped.
	ctx, cancel := context.WithDeadline(ctx, now.Add(min(CallTimeout, until.Sub(now))))
	defer cancel()
	return r.engines.Order(ctx, t.Address, t.Fencing, o)
}

// allowed checks that no other router may give orders to the engine. An engine
// that checks the token refuses an earlier owner by itself.
func allowed(t Target, now, until time.Time, ttl time.Duration) error {
	need := time.Duration(0)
	if !t.ChecksFencing {
		if now.Sub(t.Since) < ttl {
			return ErrSettling
		}
		need = CallTimeout + leaseMargin
	}
	if until.Sub(now) <= need {
		return ErrNoLease
	}
	return nil
}

// difference returns the wanted fields that the present state lacks.
func difference(present, wanted engine.Order) engine.Order {
	var missing engine.Order
	for _, f := range []struct{ present, wanted, missing *string }{
		{&present.Model, &wanted.Model, &missing.Model},
		{&present.Adapter, &wanted.Adapter, &missing.Adapter},
		{&present.Version, &wanted.Version, &missing.Version},
		{&present.Role, &wanted.Role, &missing.Role},
	} {
		if *f.wanted != "" && *f.wanted != *f.present {
			*f.missing = *f.wanted
		}
	}
	return missing
}

// loads reports whether the order makes the engine read the weight store.
func loads(o engine.Order) bool { return o.Model != "" || o.Adapter != "" || o.Version != "" }
