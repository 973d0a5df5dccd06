package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/weights"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/order"
)

// reconcileInterval is the time between two looks at the engines that have a
// desired state.
const reconcileInterval = 2 * time.Second

// ownedUpstream is an owned upstream as orders need it.
type ownedUpstream struct {
	fencing uint64
	since   time.Time
}

// ownedUpstreams are the owned upstreams. It is written by the control goroutine and
// read by the one that gives orders.
type ownedUpstreams struct {
	mu   sync.Mutex
	byID map[string]ownedUpstream
}

func (h *ownedUpstreams) set(id string, v ownedUpstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byID[id] = v
}

func (h *ownedUpstreams) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, id)
}

func (h *ownedUpstreams) get(id string) (ownedUpstream, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.byID[id]
	return v, ok
}

// runReconcile brings the owned engines to the state that the configuration asks
// for, one order at a time.
func (d *Daemon) runReconcile(ctx context.Context) error {
	leaseUntil := func() (until time.Time) {
		// The zero time, on error, permits no order.
		_ = d.callOnControl(ctx, func(time.Time) { until = d.claims.LeaseUntil() })
		return until
	}
	r := order.New(d.engines, weights.New(d.store, d.settings.ID()), leaseUntil, claim.LeaseTTL, time.Now)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, id := range d.ownerTable.Owned() {
				d.reconcile(ctx, r, id)
			}
		}
	}
}

// reconcile takes one step for one owned engine. The holding is read just before,
// since an earlier step may have taken long.
func (d *Daemon) reconcile(ctx context.Context, r *order.Reconciler, id string) {
	h, listed := d.Lookup(id)
	owned, isOwned := d.owned.get(id)
	if !listed || !isOwned || h.Kind() != hosts.Engine {
		return
	}
	p := d.Policy(h)
	if p.Model() == "" {
		return
	}
	config := d.activeConfig()
	ordered, err := r.Step(ctx, order.Target{
		Upstream: id, Address: h.Address(), Wanted: engine.Order{Model: p.Model()},
		Fencing: owned.fencing, Since: owned.since, ChecksFencing: p.ChecksFencing(),
		Slots: config.WeightSlots(), Interval: config.WeightInterval(),
	})
	entry := d.log.WithFields(logrus.Fields{"event": "order", "upstream": id, "model": p.Model(), "fencing": owned.fencing})
	switch {
	case errors.Is(err, weights.ErrNoSlot), errors.Is(err, order.ErrNoAnswer):
		entry.WithField("error", err).Debug("order waits")
	case err != nil:
		entry.WithField("error", err).Warn("order failed")
	case ordered:
		entry.Info("order followed")
	}
}
