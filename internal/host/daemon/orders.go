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

// orderInterval is the time between two looks at the engines that have a
// desired state.
const orderInterval = 2 * time.Second

// holding is an owned upstream as orders need it.
type holding struct {
	fencing uint64
	since   time.Time
}

// holdings are the owned upstreams. It is written by the control goroutine and
// read by the one that gives orders.
type holdings struct {
	mu   sync.Mutex
	held map[string]holding
}

func (h *holdings) set(id string, v holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[id] = v
}

func (h *holdings) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, id)
}

func (h *holdings) get(id string) (holding, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.held[id]
	return v, ok
}

// runOrders brings the owned engines to the state that the configuration asks
// for, one order at a time.
func (d *Daemon) runOrders(ctx context.Context) error {
	lease := func() (until time.Time) {
		// The zero time, on error, permits no order.
		_ = d.control(ctx, func(time.Time) { until = d.claims.LeaseUntil() })
		return until
	}
	r := order.New(d.engines, weights.NewAllocator(d.store, d.settings.ID()), lease, claim.LeaseTTL, time.Now)
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, id := range d.table.Owned() {
				d.order(ctx, r, id)
			}
		}
	}
}

// order takes one step for one owned engine. The holding is read just before,
// since an earlier step may have taken long.
func (d *Daemon) order(ctx context.Context, r *order.Reconciler, id string) {
	h, listed := d.Lookup(id)
	held, owned := d.holdings.get(id)
	if !listed || !owned || h.Kind() != hosts.KindEngine {
		return
	}
	p := d.Policy(h)
	if p.Model() == "" {
		return
	}
	document := d.document()
	given, err := r.Step(ctx, order.Target{
		Upstream: id, Address: h.Address(), Wanted: engine.Order{Model: p.Model()},
		Fencing: held.fencing, Since: held.since, ChecksFencing: p.ChecksFencing(),
		Slots: document.WeightSlots(), Interval: document.WeightInterval(),
	})
	entry := d.log.WithFields(logrus.Fields{"event": "order", "upstream": id, "model": p.Model(), "fencing": held.fencing})
	switch {
	case errors.Is(err, weights.ErrNoFreeSlot), errors.Is(err, order.ErrNoAnswer):
		entry.WithField("error", err).Debug("order waits")
	case err != nil:
		entry.WithField("error", err).Warn("order failed")
	case given:
		entry.Info("order followed")
	}
}
