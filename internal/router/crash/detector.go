package crash

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
)

const (
	// brokenTTL is how long after a connection broke its upstream can still turn out
	// to have crashed.
	brokenTTL = 2 * time.Second
	// maxUpstreams and maxRequests limit the upstreams with broken connections and
	// the requests kept of each.
	maxUpstreams = 256
	maxRequests  = 64
	// maxParts limits the parts of all requests that are kept.
	maxParts = 64 << 10
)

// Request is a request whose connection broke.
type Request struct {
	// ID is the request's ID.
	ID string
	// Parts are the parts of its prompt that other requests share.
	Parts []quarantine.Part
}

// Report describes a crash: the end of one incarnation of an upstream.
type Report struct {
	engine   prefix.EngineID
	upstream string
	service  string
	at       clock.Instant
	requests []Request
}

// Engine identifies the incarnation.
func (r Report) Engine() prefix.EngineID { return r.engine }

// Upstream returns the ID of the upstream.
func (r Report) Upstream() string { return r.upstream }

// Service returns the name of the upstream's service.
func (r Report) Service() string { return r.service }

// At returns when the first connection broke.
func (r Report) At() clock.Instant { return r.at }

// Requests returns the requests of this router that were in progress.
func (r Report) Requests() []Request { return r.requests }

const (
	// maxListedRequests and maxListedParts limit the requests that a text lists and the
	// parts of each.
	maxListedRequests = 8
	maxListedParts    = 24
)

// Text lists some of the requests with their parts, for the log.
func (r Report) Text() string {
	var list []string
	for _, q := range r.requests[:min(len(r.requests), maxListedRequests)] {
		var names []string
		for _, p := range q.Parts[:min(len(q.Parts), maxListedParts)] {
			names = append(names, p.Name())
		}
		if n := len(q.Parts) - len(names); n > 0 {
			names = append(names, fmt.Sprintf("(%d more)", n))
		}
		list = append(list, q.ID+"="+strings.Join(names, "+"))
	}
	return strings.Join(list, " ")
}

// Parts returns the parts of each request.
func (r Report) Parts() [][]quarantine.Part {
	list := make([][]quarantine.Part, len(r.requests))
	for i, q := range r.requests {
		list[i] = q.Parts
	}
	return list
}

// Detector collects broken connections until it is known whether their upstream
// crashed. It is safe for concurrent use.
type Detector struct {
	mu     sync.Mutex
	broken map[prefix.EngineID]*Report
	// parts is the number of parts of the requests in broken.
	parts int
}

// NewDetector returns a detector that knows of no broken connection.
func NewDetector() *Detector { return &Detector{broken: map[prefix.EngineID]*Report{}} }

// RecordBroken records that the connection of a request broke at an incarnation of
// an upstream. It reports whether it is the first one lately, so that the caller
// should check whether the upstream still accepts connections.
func (d *Detector) RecordBroken(now clock.Instant, engine prefix.EngineID, upstream, service string, q Request) (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	r := d.broken[engine]
	if r == nil {
		if len(d.broken) >= maxUpstreams {
			return false
		}
		r = &Report{engine: engine, upstream: upstream, service: service, at: now}
		d.broken[engine] = r
		first = true
	}
	if len(r.requests) < maxRequests && d.parts+len(q.Parts) <= maxParts {
		r.requests = append(r.requests, q)
		d.parts += len(q.Parts)
	}
	return first
}

// Alive records that an incarnation still accepts connections, so that it has not
// crashed.
func (d *Detector) Alive(engine prefix.EngineID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(engine)
}

// remove drops what is known of an incarnation.
func (d *Detector) remove(engine prefix.EngineID) {
	if r := d.broken[engine]; r != nil {
		for _, q := range r.requests {
			d.parts -= len(q.Parts)
		}
		delete(d.broken, engine)
	}
}

// Gone records that an incarnation does not exist any more. It returns the report of
// its crash, and false if none of its connections broke lately or the crash was
// reported already.
func (d *Detector) Gone(now clock.Instant, engine prefix.EngineID) (Report, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	r := d.broken[engine]
	if r == nil {
		return Report{}, false
	}
	d.remove(engine)
	return *r, true
}

// Expire drops the connections that broke long ago.
func (d *Detector) Expire(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
}

func (d *Detector) expire(now clock.Instant) {
	for engine, r := range d.broken {
		if now.Sub(r.at) > brokenTTL {
			d.remove(engine)
		}
	}
}
