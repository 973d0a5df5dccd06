package daemon

import (
	"context"
	"expvar"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/plain"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/shedding"
)

// sheddingInterval is the time between two removals of old rates.
const sheddingInterval = 500 * time.Millisecond

// loadShedding decides which calls to plain services are sent while a service rejects
// some because it is full. Routers do not exchange its rates: the owners of the upstreams
// queue by class and workspace for all routers.
type loadShedding struct {
	controller *shedding.Controller
	log        *logrus.Entry
}

// newLoadShedding returns nil unless the settings enable it.
func newLoadShedding(d *Daemon) *loadShedding {
	if !d.settings.ShedsLoad() {
		return nil
	}
	s := &loadShedding{shedding.New(), d.log}
	d.vars.Set("shedding", expvar.Func(func() any { return s.controller.Metrics(clock.Now()) }))
	return s
}

// sheddingOptions returns the options for the handler of plain services.
func (d *Daemon) sheddingOptions() []plain.Option {
	if d.shedding == nil {
		return nil
	}
	priority := func(workspace, class string) int {
		if class == "" {
			class = d.Class(workspace)
		}
		return d.ClassPolicy(class).Rank()
	}
	return []plain.Option{plain.WithShedding(d.shedding.controller, priority, d.shedding.logRefusal)}
}

// run removes old rates and logs shortages that have started or ended.
func (s *loadShedding) run(ctx context.Context) error {
	for clock.Sleep(ctx, sheddingInterval) {
		if s == nil {
			continue
		}
		for _, c := range s.controller.Expire(clock.Now()) {
			f := logrus.Fields{"event": "capacity", "service": c.Service, "short": c.Short, "completed": math.Round(c.Completed), "rejected": math.Round(c.Rejected)}
			if c.Short {
				s.log.WithFields(f).Warn("capacity of a service is short")
				continue
			}
			f["duration_ms"], f["admitted"], f["refused"] = c.Duration.Milliseconds(), c.Admitted, c.Refused
			s.log.WithFields(f).Info("capacity of a service suffices again")
		}
	}
	return ctx.Err()
}

// logRefusal logs a refused call with what decided it.
func (s *loadShedding) logRefusal(requestID string, r shedding.Request, d shedding.Decision) {
	s.log.WithFields(logrus.Fields{
		"event": "not-admitted", "request": requestID, "service": r.Service, "workspace": r.Workspace, "priority": r.Priority, "why": d.Reason,
		"share": math.Round(d.Share*1000) / 1000, "capacity": math.Round(d.Capacity), "demand": math.Round(d.Demand), "rejected": math.Round(d.Rejected),
		"latency_ms": d.Latency.Milliseconds(), "retry_after_ms": d.RetryAfter.Milliseconds(),
	}).Info("request not admitted")
}
