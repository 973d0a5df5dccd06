package partstore

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

const (
	// writers is the number of routers that save the quarantined sets, in case one of
	// them does not reach the store.
	writers = 2
	// saveDelay collects changes in one call, and retryDelay is the time between two
	// attempts while the store fails.
	saveDelay  = 200 * time.Millisecond
	retryDelay = 2 * time.Second
	// topic is the key of the rendezvous hashing that chooses the writers.
	topic = "quarantine"
)

// Store is the part of the platform's store that a Saver uses.
type Store interface {
	// SaveQuarantine stores a document in place of the last one.
	SaveQuarantine(ctx context.Context, document []byte) error
}

// Fleet tells which routers there are.
type Fleet interface {
	// QuarantineRouters returns the name of this router, and the names of all that are
	// reachable, this one included.
	QuarantineRouters() (self string, all []string)
	// QuarantineSaved is called after each attempt to save the quarantined sets, with
	// the size of the document in bytes.
	QuarantineSaved(bytes int, err error)
}

// Saver saves the quarantined sets after each change. It is safe for concurrent use.
type Saver struct {
	quarantine *quarantine.Quarantine
	store      Store
	fleet      Fleet
	changed    chan struct{}
	// saved is the quarantine.Sets of what the store holds, empty if unknown.
	saved atomic.Pointer[string]
}

// New returns a saver of the sets in q.
func New(q *quarantine.Quarantine, store Store, fleet Fleet) *Saver {
	s := &Saver{quarantine: q, store: store, fleet: fleet, changed: make(chan struct{}, 1)}
	s.saved.Store(new(string))
	return s
}

// Changed tells that the quarantined sets have changed.
func (s *Saver) Changed() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Run saves the quarantined sets after each change until ctx is done.
func (s *Saver) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		}
		clock.Sleep(ctx, saveDelay)
		for ctx.Err() == nil && !s.save(ctx) {
			clock.Sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// save saves the quarantined sets if this router is a writer and they differ from what
// is saved. It returns false if the store failed.
func (s *Saver) save(ctx context.Context) bool {
	self, all := s.fleet.QuarantineRouters()
	order := rendezvous.Order(rendezvous.Key(topic), all)
	sets := quarantine.Sets(s.quarantine.Entries())
	if !slices.Contains(order[:min(writers, len(order))], self) || sets == *s.saved.Load() {
		return true
	}
	document, err := quarantine.EncodeDocument(s.quarantine.Snapshot(clock.Now()), time.Now())
	if err == nil {
		err = s.store.SaveQuarantine(ctx, document)
	}
	s.fleet.QuarantineSaved(len(document), err)
	if err == nil {
		s.saved.Store(&sets)
	}
	return err == nil
}

// Load adopts the sets of a saved document, which may be empty. The error is that of
// the last invalid line; the others are adopted all the same.
func (s *Saver) Load(document []byte) error {
	if len(document) == 0 {
		return nil
	}
	facts, err := quarantine.DecodeDocument(document, time.Now())
	s.quarantine.Merge(clock.Now(), facts)
	sets := quarantine.SetsOf(facts)
	s.saved.Store(&sets)
	return err
}
