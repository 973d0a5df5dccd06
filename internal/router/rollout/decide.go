package rollout

import (
	"fmt"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// rankDelay is how much longer each further router waits before it writes what the
	// routers before it in the order should have written.
	rankDelay = 150 * time.Millisecond
	// writeInterval is the least time between two attempts of a router to write.
	writeInterval = 250 * time.Millisecond
)

// View is what a decision depends on beside the roll-out itself.
type View struct {
	// Fresh is set if the operators' orders were confirmed recently.
	Fresh bool
	// Rank is the position of this router among those that may write, 0 for the first.
	Rank int
	// Next and Old are the numbers of upstreams of the new version and of the others
	// that receive new work, and OldLoad the requests in progress at the latter.
	Next, Old, OldLoad int
}

// Write is a change of the record of a roll-out. It may take effect only if the order and
// the record in the store are still those that it names.
type Write struct {
	Record Record
	// Withdrawn is set if the order must not exist any more.
	Withdrawn bool
}

// Due returns the write that this router is to make now for a service, and false if there
// is none.
func (c *Controller) Due(now clock.Instant, service, writer string, wall time.Time, view View) (Write, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.services[service]
	if p == nil {
		return Write{}, false
	}
	wanted, known := c.wantedStage(now, p, view)
	if !known || p.record.Order.ID() == p.order.ID() && p.record.Stage == wanted {
		p.wantedSince = 0
		return Write{}, false
	}
	if p.wantedSince == 0 || p.wanted != wanted {
		p.wanted, p.wantedSince = wanted, now
	}
	if now.Sub(p.wantedSince) < time.Duration(view.Rank)*rankDelay || p.lastWrite != 0 && now.Sub(p.lastWrite) < writeInterval {
		return Write{}, false
	}
	p.lastWrite = now
	begun := wall
	if p.begun != 0 {
		begun = wall.Add(-now.Sub(p.begun))
	}
	record := Record{Order: p.order, Stage: wanted, Begun: begun, Writer: writer, Revision: p.record.Revision}
	return Write{Record: record, Withdrawn: p.withdrawn}, true
}

// wantedStage returns the stage that the record should have, and false while that is not
// known.
func (c *Controller) wantedStage(now clock.Instant, p *progress, view View) (Stage, bool) {
	if p.stage != Running {
		return p.stage, true
	}
	if p.withdrawn || p.bad {
		return RolledBack, true
	}
	if !view.Fresh || p.begun == 0 {
		return Running, false
	}
	if p.order.Duration <= 0 {
		c.setReason(now, p, "order without a duration")
		return RolledBack, true
	}
	plan := c.schedule(p)
	elapsed := now.Sub(p.begun)
	enough := view.Next > 0 && 2*view.Next >= view.Old
	if plan.mustDecide(elapsed) && !enough {
		c.setReason(now, p, fmt.Sprintf("%d upstreams of the new version for %d others", view.Next, view.Old))
		return RolledBack, true
	}
	if p.shifted == 0 || !enough {
		return Running, true
	}
	if plan.mayComplete(elapsed, now.Sub(p.shifted), view.OldLoad) {
		return Completed, true
	}
	return Running, true
}

func (c *Controller) setReason(now clock.Instant, p *progress, reason string) {
	if p.reason != reason {
		p.reason = reason
		c.note(now, p, "not completed", reason)
	}
}

// BeginShift begins the shift of a service without requests, where no request would.
func (c *Controller) BeginShift(now clock.Instant, service string, view View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.services[service]
	if p == nil || p.stage != Running || p.bad || p.withdrawn || p.order.Duration <= 0 {
		return
	}
	if p.begun == 0 && now.Sub(p.learned) >= unknownStart {
		p.begun = p.learned
	}
	enough := view.Next > 0 && 2*view.Next >= view.Old
	if p.begun != 0 && p.shifted == 0 && view.Fresh && enough && now.Sub(p.begun) >= c.schedule(p).shiftAt() {
		p.shifted = now
	}
}

// Adopt takes over a record that the store holds, read or just written. wall is the
// present wall-clock time.
func (c *Controller) Adopt(now clock.Instant, r Record, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.services[r.Order.Service]
	if p == nil || r.Revision < p.record.Revision {
		return
	}
	p.record = r
	if r.Order.ID() != p.order.ID() {
		return
	}
	if p.begun == 0 {
		p.begun = now.Add(-max(0, wall.Sub(r.Begun)))
	}
	c.end(now, p, r.Stage, "written by "+r.Writer)
}

// end ends a roll-out. A final stage never changes.
func (c *Controller) end(now clock.Instant, p *progress, s Stage, detail string) {
	if s == Running || p.stage != Running {
		return
	}
	p.stage, p.endedAt = s, now
	c.note(now, p, s.String(), detail)
}

// text describes a finding for the log.
func (f finding) text() string {
	return fmt.Sprintf("%s %d of %d, old version %d of %d, route %x", f.kind, f.bad, f.of, f.old, f.ofO, f.route)
}
