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
	// reportInterval is the time between two load reports of an owned engine.
	reportInterval = 500 * time.Millisecond
	reportTimeout  = 400 * time.Millisecond
	// reportsAtOnce bounds the connections to engines for reports.
	reportsAtOnce = 16
)

// runReports reads load reports and cache events of the owned engines.
func (d *Daemon) runReports(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	sequences := &sequences{last: map[string]uint64{}}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.readReports(ctx, sequences)
		}
	}
}

// sequences holds the last cache event taken in of each engine.
type sequences struct {
	mu   sync.Mutex
	last map[string]uint64
}

func (s *sequences) get(id string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[id]
}

func (s *sequences) set(id string, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[id] = seq
}

// keep forgets engines that are no longer owned.
func (s *sequences) keep(owned map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.last {
		if !owned[id] {
			delete(s.last, id)
		}
	}
}

func (d *Daemon) readReports(ctx context.Context, s *sequences) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var group sync.WaitGroup
	slots := make(chan struct{}, reportsAtOnce)
	owned := map[string]bool{}
	for _, id := range d.table.Owned() {
		owned[id] = true
		h, ok := d.Lookup(id)
		if !ok || h.Kind() != hosts.KindEngine {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			d.readReport(ctx, h, s)
		})
	}
	group.Wait()
	s.keep(owned)
}

func (d *Daemon) readReport(ctx context.Context, h hosts.Host, s *sequences) {
	r, err := d.engines.Load(ctx, h.Address())
	if err != nil {
		d.log.WithFields(logrus.Fields{"event": "load-report", "upstream": h.ID(), "error": err}).Debug("no load report")
		return
	}
	d.table.ApplyLoadReport(time.Now(), h.ID(), owner.LoadReport{
		Boot: r.Boot, State: r.State, Running: r.Running, Waiting: r.Waiting, CacheTokens: r.CacheTokens,
	})
	events, err := d.engines.CacheEvents(ctx, h.Address(), s.get(h.ID()))
	if err != nil || len(events) == 0 {
		return
	}
	taken := make([]owner.CacheEvent, len(events))
	for i, e := range events {
		taken[i] = owner.CacheEvent{Seq: e.Seq, Chat: e.Chat, Op: e.Op, Tokens: e.Tokens}
	}
	d.table.ApplyCacheEvents(time.Now(), h.ID(), taken)
	s.set(h.ID(), events[len(events)-1].Seq)
}
