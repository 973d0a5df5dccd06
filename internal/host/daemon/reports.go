package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
	"github.com/hemlockcroft/hemlockcroft/internal/router/owner"
)

const (
	// loadReportInterval is the time between two reads of an owned engine's load
	// report.
	loadReportInterval = 500 * time.Millisecond
	loadReportTimeout  = 400 * time.Millisecond
	// maxConcurrentReports bounds the engines that are read at the same time.
	maxConcurrentReports = 16
)

// runLoadReports polls the owned engines for load reports and cache events.
func (d *Daemon) runLoadReports(ctx context.Context) error {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	sequences := &eventSequences{lastSeq: map[string]uint64{}}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.readLoadReports(ctx, sequences)
		}
	}
}

// eventSequences holds the sequence number of the last cache event that was applied
// for each engine.
type eventSequences struct {
	mu      sync.Mutex
	lastSeq map[string]uint64
}

func (s *eventSequences) get(id string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeq[id]
}

func (s *eventSequences) set(id string, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeq[id] = seq
}

// retain removes the engines that are no longer owned.
func (s *eventSequences) retain(owned map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.lastSeq {
		if !owned[id] {
			delete(s.lastSeq, id)
		}
	}
}

func (d *Daemon) readLoadReports(ctx context.Context, s *eventSequences) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReports)
	owned := map[string]bool{}
	for _, id := range d.ownerTable.Owned() {
		owned[id] = true
		h, ok := d.Lookup(id)
		if !ok || h.Kind() != hosts.KindEngine {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			d.readLoadReport(ctx, h, s)
		})
	}
	group.Wait()
	s.retain(owned)
}

func (d *Daemon) readLoadReport(ctx context.Context, h hosts.Host, s *eventSequences) {
	r, err := d.engines.LoadReport(ctx, h.Address())
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "load-report", "upstream": h.ID(), "error": err}).Debug("load report not read")
		return
	}
	d.ownerTable.ApplyLoadReport(time.Now(), h.ID(), owner.LoadReport{
		BootID: r.BootID, State: r.State, Running: r.Running, Waiting: r.Waiting, CacheTokens: r.CacheTokens,
	})
	events, err := d.engines.CacheEvents(ctx, h.Address(), s.get(h.ID()))
	if err != nil || len(events) == 0 {
		return
	}
	cacheEvents := make([]owner.CacheEvent, len(events))
	for i, e := range events {
		cacheEvents[i] = owner.CacheEvent{Seq: e.Seq, Chat: e.Chat, Op: e.Op, Tokens: e.Tokens}
	}
	d.ownerTable.ApplyCacheEvents(time.Now(), h.ID(), cacheEvents)
	s.set(h.ID(), events[len(events)-1].Seq)
}
