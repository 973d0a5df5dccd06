package reconcile

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/weightslots"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

const (
	// CallTimeout bounds one change of an engine, so that it ends within a lease.
	CallTimeout = 4 * time.Second
	// initialBackoff and maxBackoff bound the backoff after a change that timed out.
	// Weights of many GB take minutes to load, and each attempt uses a slot of the
	// fleet.
	initialBackoff = 10 * time.Second
	maxBackoff     = 5 * time.Minute
	// leaseMargin is what must remain of the lease after a change of an engine that
	// does not check fencing tokens.
	leaseMargin = time.Second
)

var (
	// ErrLeaseTooShort means that the lease may end before the change does.
	ErrLeaseTooShort = errors.New("the lease may end before the change")
	// ErrPreviousLease means that an earlier owner's lease may still be valid.
	ErrPreviousLease = errors.New("an earlier owner's lease may still be valid")
	// ErrNotApplied means that the engine accepted a change and did not apply it.
	ErrNotApplied = errors.New("the engine accepted the change but did not apply it")
	// ErrBackoff means that a change is not retried yet, since the engine may still
	// be applying one that timed out.
	ErrBackoff = errors.New("an earlier change that timed out may still be in progress")
)

// Engines reads and changes the serving configuration of engines.
type Engines interface {
	ServingConfig(ctx context.Context, address string) (engine.ServingConfig, error)
	SetServingConfig(ctx context.Context, address string, fencing uint64, cfg engine.ServingConfig) error
}

// Slots limits how many loads of weights the whole fleet starts.
type Slots interface {
	Acquire(ctx context.Context, now time.Time, slots int, interval time.Duration) (weightslots.Slot, error)
}

// Target is one owned engine and its desired serving configuration.
type Target struct {
	// Upstream is the id of the engine and Address its "host:port".
	Upstream, Address string
	// Desired is the desired configuration; empty fields may have any value.
	Desired engine.ServingConfig
	// Fencing is the fencing token of the claim.
	Fencing uint64
	// ClaimedAt is when this router claimed the engine.
	ClaimedAt time.Time
	// ChecksFencing is true if the engine rejects stale fencing tokens.
	ChecksFencing bool
	// Slots is the number of weight loads that the fleet may start per SlotInterval.
	Slots        int
	SlotInterval time.Duration
}

// Reconciler changes the engines that one router owns.
type Reconciler struct {
	engines Engines
	slots   Slots
	// leaseEnd returns the time until which this router's lease is certainly valid.
	leaseEnd func() time.Time
	// leaseTTL is the time after which an earlier owner's lease has ended.
	leaseTTL time.Duration
	now      func() time.Time
	// backoffs holds the backoff of each engine whose last change timed out, by
	// upstream id.
	backoffs map[string]backoff
}

// backoff is the time until which a change is not retried, and the delay that led
// to it.
type backoff struct {
	until time.Time
	delay time.Duration
}

// New returns a reconciler. leaseEnd returns the time until which this router's
// lease is certainly valid; leaseTTL is the lifetime of any router's lease.
func New(engines Engines, slots Slots, leaseEnd func() time.Time, leaseTTL time.Duration, now func() time.Time) *Reconciler {
	return &Reconciler{
		engines: engines, slots: slots, leaseEnd: leaseEnd, leaseTTL: leaseTTL, now: now, backoffs: map[string]backoff{},
	}
}

// Reconcile reads the engine's serving configuration and sends at most one change.
// It returns whether a change was sent and applied.
func (r *Reconciler) Reconcile(ctx context.Context, t Target) (bool, error) {
	current, err := r.engines.ServingConfig(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("read serving config of %s: %w", t.Upstream, err)
	}
	change := diff(current, t.Desired)
	if change == (engine.ServingConfig{}) {
		delete(r.backoffs, t.Upstream)
		return false, nil
	}
	if r.now().Before(r.backoffs[t.Upstream].until) {
		return false, fmt.Errorf("change serving config of %s: %w", t.Upstream, ErrBackoff)
	}
	err = r.apply(ctx, t, change)
	r.updateBackoff(t.Upstream, err)
	if err != nil {
		return false, fmt.Errorf("change serving config of %s: %w", t.Upstream, err)
	}
	after, err := r.engines.ServingConfig(ctx, t.Address)
	if err != nil {
		return false, fmt.Errorf("read serving config of %s after the change: %w", t.Upstream, err)
	}
	if diff(after, t.Desired) != (engine.ServingConfig{}) {
		return false, fmt.Errorf("change serving config of %s: %w", t.Upstream, ErrNotApplied)
	}
	return true, nil
}

// updateBackoff doubles the backoff of an engine after a timeout and resets it
// after any other result.
func (r *Reconciler) updateBackoff(upstream string, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		delete(r.backoffs, upstream)
		return
	}
	delay := min(max(2*r.backoffs[upstream].delay, initialBackoff), maxBackoff)
	r.backoffs[upstream] = backoff{until: r.now().Add(delay), delay: delay}
}

// apply sends a change, after taking a slot if the change loads weights. Slot and
// lease are checked right before the call, since taking a slot takes time. The
// lease is also checked before the slot is taken: slots are not returned, so a
// change that must wait for the lease would keep the whole fleet from loading.
func (r *Reconciler) apply(ctx context.Context, t Target, change engine.ServingConfig) error {
	if err := checkExclusive(t, r.now(), r.leaseEnd(), r.leaseTTL); err != nil {
		return err
	}
	usable := func(time.Time) bool { return true }
	if loadsWeights(change) {
		slot, err := r.slots.Acquire(ctx, r.now(), t.Slots, t.SlotInterval)
		if err != nil {
			return err
		}
		usable = slot.Usable
	}
	now := r.now()
	if !usable(now) {
		return weightslots.ErrNoFreeSlot
	}
	leaseEnd := r.leaseEnd()
	if err := checkExclusive(t, now, leaseEnd, r.leaseTTL); err != nil {
		return err
	}
	// If this process is paused here, the deadline passes, so that the call is not
	// sent after the lease.
	ctx, cancel := context.WithDeadline(ctx, now.Add(min(CallTimeout, leaseEnd.Sub(now))))
	defer cancel()
	return r.engines.SetServingConfig(ctx, t.Address, t.Fencing, change)
}

// checkExclusive returns an error if another router's change may still reach the
// engine, or if this router's lease may end during the call. An engine that checks
// fencing tokens rejects an earlier owner by itself, so for such an engine it is
// enough that this router's lease is valid.
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

// diff returns the fields of desired that are set and differ from current.
func diff(current, desired engine.ServingConfig) engine.ServingConfig {
	var change engine.ServingConfig
	for _, f := range []struct{ current, desired, change *string }{
		{&current.Model, &desired.Model, &change.Model},
		{&current.Adapter, &desired.Adapter, &change.Adapter},
		{&current.Version, &desired.Version, &change.Version},
		{&current.Role, &desired.Role, &change.Role},
	} {
		if *f.desired != "" && *f.desired != *f.current {
			*f.change = *f.desired
		}
	}
	return change
}

// loadsWeights reports whether the change makes the engine load weights from the
// weight store.
func loadsWeights(change engine.ServingConfig) bool {
	return change.Model != "" || change.Adapter != "" || change.Version != ""
}
