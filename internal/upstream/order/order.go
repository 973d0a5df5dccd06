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
	// initialBackoff and maxBackoff bound the wait after an order without an answer.
	// Weights of many GB load for minutes, and each try takes a slot of the fleet.
	initialBackoff = 10 * time.Second
	maxBackoff     = 5 * time.Minute
	// leaseMargin is left of the lease after an order to an engine that
	// ignores fencing tokens.
	leaseMargin = time.Second
)

var (
	// ErrLeaseTooShort means that the lease may end before the order does.
	ErrLeaseTooShort = errors.New("the lease may end before the order")
	// ErrPreviousLease means that an earlier owner's lease may still be in force.
	ErrPreviousLease = errors.New("an earlier owner may still give orders")
	// ErrNotApplied means that the engine accepted an order and did not follow it.
	ErrNotApplied = errors.New("the engine is not in the ordered state")
	// ErrBackoff means that an order is not repeated yet, since the engine may
	// still be carrying out one that it did not answer in time.
	ErrBackoff = errors.New("an order without an answer may still be in progress")
)

// Engines are the calls to engines that orders need.
type Engines interface {
	ServingConfig(ctx context.Context, address string) (engine.ServingConfig, error)
	SetServingConfig(ctx context.Context, address string, fencing uint64, o engine.ServingConfig) error
}

// Slots limit how many loads of weights the whole fleet starts.
type Slots interface {
	Take(ctx context.Context, now time.Time, slots int, interval time.Duration) (weights.Slot, error)
}

// Target is one owned engine and the state that it should have.
type Target struct {
	// Upstream names the engine and Address is its host:port.
	Upstream, Address string
	// Desired is the desired state; empty fields may stay as they are.
	Desired engine.ServingConfig
	// Fencing is the token of the claim and Since its time.
	Fencing   uint64
	ClaimedAt time.Time
	// ChecksFencing is true if the engine rejects an older token.
	ChecksFencing bool
	// Slots and Interval are the fleet's rate of weight loads.
	Slots        int
	SlotInterval time.Duration
}

// Reconciler gives the orders of one router.
type Reconciler struct {
	engines Engines
	slots   Slots
	// leaseEnd returns until when this router's lease is surely valid.
	leaseEnd func() time.Time
	// leaseTTL is the time after which an earlier owner's lease has ended.
	leaseTTL time.Duration
	now      func() time.Time
	// backoffs holds the engines that did not answer an order, by upstream.
	backoffs map[string]backoff
}

// backoff is the time until which an order is not repeated.
type backoff struct {
	until time.Time
	delay time.Duration
}

// New returns a reconciler; leaseTTL is the lifetime of any router's lease.
func New(engines Engines, slots Slots, leaseEnd func() time.Time, leaseTTL time.Duration, now func() time.Time) *Reconciler {
	return &Reconciler{
		engines: engines, slots: slots, leaseEnd: leaseEnd, leaseTTL: leaseTTL, now: now, backoffs: map[string]backoff{},
	}
}

// Reconcile reads the engine's state and gives at most one order. It returns
// whether an order was given and followed.
func (r *Reconciler) Reconcile(ctx context.Context, t Target) (bool, error) {
	current, err := r.engines.ServingConfig(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("state of %s: %w", t.Upstream, err)
	}
	change := diff(current, t.Desired)
	if change == (engine.ServingConfig{}) {
		delete(r.backoffs, t.Upstream)
		return false, nil
	}
	if r.now().Before(r.backoffs[t.Upstream].until) {
		return false, fmt.Errorf("order to %s: %w", t.Upstream, ErrBackoff)
	}
	err = r.apply(ctx, t, change)
	r.updateBackoff(t.Upstream, err)
	if err != nil {
		return false, fmt.Errorf("order to %s: %w", t.Upstream, err)
	}
	after, err := r.engines.ServingConfig(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("state of %s after the order: %w", t.Upstream, err)
	}
	if diff(after, t.Desired) != (engine.ServingConfig{}) {
		return false, fmt.Errorf("order to %s: %w", t.Upstream, ErrNotApplied)
	}
	return true, nil
}

// updateBackoff doubles the wait for an engine that did not answer an order in
// time, and ends it for one that answered.
func (r *Reconciler) updateBackoff(upstream string, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		delete(r.backoffs, upstream)
		return
	}
	delay := min(max(2*r.backoffs[upstream].delay, initialBackoff), maxBackoff)
	r.backoffs[upstream] = backoff{until: r.now().Add(delay), delay: delay}
}

// apply takes a slot if weights are loaded and sends the order. Slot and lease
// are checked last, since taking a slot takes time. The lease is checked before
// as well: a slot is not given back, so an order that must wait would keep the
// whole fleet from loading.
func (r *Reconciler) apply(ctx context.Context, t Target, change engine.ServingConfig) error {
	if err := checkExclusive(t, r.now(), r.leaseEnd(), r.leaseTTL); err != nil {
		return err
	}
	usable := func(time.Time) bool { return true }
	if loadsWeights(change) {
		slot, err := r.slots.Take(ctx, r.now(), t.Slots, t.SlotInterval)
		if err != nil {
			return err
		}
		usable = slot.Usable
	}
	now := r.now()
	if !usable(now) {
		return weights.ErrNoSlot
	}
	leaseEnd := r.leaseEnd()
	if err := checkExclusive(t, now, leaseEnd, r.leaseTTL); err != nil {
		return err
	}
	// After a pause of this process the deadline has passed, so that a call
	// that has not been sent yet is dropped.
	ctx, cancel := context.WithDeadline(ctx, now.Add(min(CallTimeout, leaseEnd.Sub(now))))
	defer cancel()
	return r.engines.SetServingConfig(ctx, t.Address, t.Fencing, change)
}

// checkExclusive checks that no other router may give orders to the engine. An engine
// that checks the token refuses an earlier owner by itself.
func checkExclusive(t Target, now, leaseEnd time.Time, leaseTTL time.Duration) error {
	minRemaining := time.Duration(0)
	if !t.ChecksFencing {
		if now.Sub(t.ClaimedAt) < leaseTTL {
			return ErrPreviousLease
		}
		minRemaining = CallTimeout + leaseMargin
	}
	if leaseEnd.Sub(now) <= minRemaining {
		return ErrLeaseTooShort
	}
	return nil
}

// diff returns the wanted fields that the present state lacks.
func diff(current, desired engine.ServingConfig) engine.ServingConfig {
	var change engine.ServingConfig
	for _, f := range []struct{ present, wanted, missing *string }{
		{&current.Model, &desired.Model, &change.Model},
		{&current.Adapter, &desired.Adapter, &change.Adapter},
		{&current.Version, &desired.Version, &change.Version},
		{&current.Role, &desired.Role, &change.Role},
	} {
		if *f.wanted != "" && *f.wanted != *f.present {
			*f.missing = *f.wanted
		}
	}
	return change
}

// loadsWeights reports whether the order makes the engine read the weight store.
func loadsWeights(change engine.ServingConfig) bool {
	return change.Model != "" || change.Adapter != "" || change.Version != ""
}
