package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/weightslots"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/reconcile"
)

// reconcileInterval is the time between two passes over the owned engines.
const reconcileInterval = 2 * time.Second

// ownedUpstream is the fencing token of an owned upstream and the time since which
// it is owned under that token.
type ownedUpstream struct {
	fencing uint64
	since   time.Time
}

// ownedUpstreams holds the upstreams that this router owns. The control goroutine
// writes it and runReconcile reads it.
type ownedUpstreams struct {
	mu   sync.Mutex
	byID map[string]ownedUpstream
}

func (o *ownedUpstreams) set(id string, v ownedUpstream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byID[id] = v
}

func (o *ownedUpstreams) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byID, id)
}

func (o *ownedUpstreams) get(id string) (ownedUpstream, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.byID[id]
	return v, ok
}

// runReconcile makes the owned engines serve the models that the configuration
// assigns to them, one engine at a time.
func (d *Daemon) runReconcile(ctx context.Context) error {
	leaseUntil := func() (until time.Time) {
		// On an error the zero time forbids every change.
		_ = d.callOnControl(ctx, func(time.Time) { until = d.claims.LeaseUntil() })
		return until
	}
	r := reconcile.New(d.engines, weightslots.NewAllocator(d.store, d.settings.ID()), leaseUntil, claim.LeaseTTL, time.Now)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, id := range d.ownerTable.Owned() {
				d.reconcileUpstream(ctx, r, id)
			}
		}
	}
}

// reconcileUpstream sends at most one change of the serving configuration to the
// engine with the given id. It looks up the ownership itself, since the steps for
// other engines may have taken long enough for it to change.
func (d *Daemon) reconcileUpstream(ctx context.Context, r *reconcile.Reconciler, id string) {
	h, listed := d.Lookup(id)
	owned, isOwned := d.owned.get(id)
	if !listed || !isOwned || h.Kind() != hosts.KindEngine {
		return
	}
	p := d.Policy(h)
	if p.Model() == "" {
		return
	}
	config := d.activeConfig()
	ordered, err := r.Reconcile(ctx, reconcile.Target{
		Upstream: id, Address: h.Address(), Desired: engine.ServingConfig{Model: p.Model()},
		Fencing: owned.fencing, ClaimedAt: owned.since, ChecksFencing: p.ChecksFencing(),
		Slots: config.WeightSlots(), SlotInterval: config.WeightInterval(),
	})
	entry := d.log.WithFields(logrus.Fields{"event": "order", "upstream": id, "model": p.Model(), "fencing": owned.fencing})
	switch {
	case errors.Is(err, weightslots.ErrNoFreeSlot), errors.Is(err, reconcile.ErrBackoff):
		entry.WithField("error", err).Debug("serving configuration update deferred")
	case err != nil:
		entry.WithField("error", err).Warn("serving configuration update failed")
	case ordered:
		entry.Info("serving configuration update completed")
	}
}
