package forward

import (
	"errors"
	"fmt"
	"sync"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// LoadReport is the load of an upstream as it states it itself.
type LoadReport struct {
	// Known reports whether the upstream stated a load that could be decoded.
	Known bool
	// Running and Waiting are its numbers of requests, and Slots how many it runs
	// concurrently.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now as a multiple of the usual time, 0 if
	// it is not stated.
	Slowdown float64
}

// LoadFormatError reports a load that could not be decoded.
type LoadFormatError struct {
	// Shape says what is wrong, without the figures themselves, which change with
	// each response.
	Shape string
	Value string
}

func (e *LoadFormatError) Error() string {
	return fmt.Sprintf("load report %.60q: %s", e.Value, e.Shape)
}

// loadFormats counts malformed load reports and holds the last kind of malformation of
// each upstream, so that only changes are logged. It is safe for concurrent use.
type loadFormats struct {
	mu        sync.Mutex
	shapes    map[string]string
	malformed int64
}

// observe records the outcome of decoding a load report and reports whether it differs
// from the last one of the upstream. The first report of an upstream counts as a
// change only if it is malformed.
func (l *loadFormats) observe(upstream string, err error) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shape := ""
	var malformed *LoadFormatError
	if errors.As(err, &malformed) {
		shape = malformed.Shape
		l.malformed++
	}
	if l.shapes[upstream] == shape {
		return false
	}
	if shape == "" {
		delete(l.shapes, upstream)
		return true
	}
	if l.shapes == nil {
		l.shapes = map[string]string{}
	}
	l.shapes[upstream] = shape
	return true
}

// retain drops all upstreams that are not in ids.
func (l *loadFormats) retain(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := map[string]string{}
	for _, id := range ids {
		if shape := l.shapes[id]; shape != "" {
			kept[id] = shape
		}
	}
	l.shapes = kept
}

func (l *loadFormats) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.malformed
}

// MalformedLoadReports returns the number of load reports of upstreams that could not
// be decoded in whole or in part.
func (g *Gateway) MalformedLoadReports() int64 { return g.loadFormats.count() }

// Retain drops the state of all upstreams that are not in ids.
func (g *Gateway) Retain(ids []string) { g.loadFormats.retain(ids) }

// recordLoad records the load that an upstream reports.
func (j *job) recordLoad(u *directory.Upstream, info ResponseInfo) {
	if j.loadFormats.observe(u.ID(), info.LoadErr) {
		entry := j.log().WithField("upstream", u.ID())
		if info.LoadErr != nil {
			entry.WithError(info.LoadErr).Warn("load report of an upstream is malformed and counts as unknown")
		} else {
			entry.Info("load report of an upstream is readable again")
		}
	}
	if !info.Load.Known {
		return
	}
	if j.Latency != nil {
		j.Latency.Report(clock.Now(), u.IDHash(), info.Load.Slowdown)
	}
	load := info.Load.Running + info.Load.Waiting
	if load == 0 {
		// The request itself is in progress, so the report is older than it.
		return
	}
	j.Gossip.SetReportedLoad(clock.Now(), u.IDHash(), load)
	if j.loadBound > 0 && load > j.loadBound {
		j.ReportOverload(u.IDHash())
	}
}
