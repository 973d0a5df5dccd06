package edge

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

const (
	// quarantineWriters is the number of routers that save the quarantined sets, in
	// case one of them does not reach the store.
	quarantineWriters = 2
	// saveDelay collects changes in one call, and saveRetryDelay is the time between
	// two attempts while the store fails.
	saveDelay      = 200 * time.Millisecond
	saveRetryDelay = 2 * time.Second
	// quarantineTopic is the key of the rendezvous hashing that chooses the writers.
	quarantineTopic = "quarantine"
)

// saveQuarantine saves the quarantined sets after each change, so that they outlast a
// loss of all routers. Routers that go on learn of them from each other.
func (e *Edge) saveQuarantine(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.quarantineChanged:
		}
		clock.Sleep(ctx, saveDelay)
		for ctx.Err() == nil && !e.saveQuarantineOnce(ctx) {
			clock.Sleep(ctx, saveRetryDelay)
		}
	}
	return ctx.Err()
}

// saveQuarantineOnce saves the quarantined sets if this router is a writer and they
// differ from what is saved. It returns false if the store failed.
func (e *Edge) saveQuarantineOnce(ctx context.Context) bool {
	now := clock.Now()
	writers := rendezvous.Order(rendezvous.Key(quarantineTopic), e.gossipState.ReachableRouters(now))
	sets := quarantine.Sets(e.quarantine.Entries())
	if !slices.Contains(writers[:min(quarantineWriters, len(writers))], e.settings.Name()) || sets == *e.savedSets.Load() {
		return true
	}
	document, err := quarantine.EncodeDocument(e.quarantine.Snapshot(now), time.Now())
	if err == nil {
		err = e.store.SaveQuarantine(ctx, document)
	}
	e.logDependency("quarantine", err)
	if err != nil {
		return false
	}
	e.savedSets.Store(&sets)
	e.log.WithField("bytes", len(document)).Info("quarantine saved")
	return true
}

// loadQuarantine adopts saved sets.
func (e *Edge) loadQuarantine(document []byte) {
	if len(document) == 0 {
		return
	}
	facts, err := quarantine.DecodeDocument(document, time.Now())
	if err != nil && e.logOnce("quarantine", err) {
		e.counters.Add("quarantine_invalid", 1)
		e.log.WithError(err).Warn("ignoring invalid entry of the saved quarantine")
	}
	e.quarantine.Merge(clock.Now(), facts)
	sets := quarantine.SetsOf(facts)
	e.savedSets.Store(&sets)
}
