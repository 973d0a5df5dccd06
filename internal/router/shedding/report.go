package shedding

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// SectionKind identifies the section of the digest datagram that holds reports.
	SectionKind = 1
	// reportFormat is the first byte of the section and changes with its layout.
	reportFormat = 1
	// maxReportBytes limits the section, so that the datagram keeps room for the loads.
	maxReportBytes = 400
	// maxReportedClasses limits the classes of one service that are reported by name.
	// The others are summed for each priority.
	maxReportedClasses = 24
	// maxReportedUpstreams limits the upstreams of one service that are reported.
	maxReportedUpstreams = 8
	// rateScale is the number of units per request and second in which rates are
	// encoded.
	rateScale = 10
	// maxEncodedRate bounds a decoded rate, so that a corrupt one has a limited effect.
	maxEncodedRate = 1 << 20
)

// errMalformed is returned for a section that does not have the expected layout.
var errMalformed = errors.New("malformed report of rates")

// id is the hash of a name.
type id uint32

func hashOf(name string) id {
	if name == "" {
		return 0
	}
	return id(xxhash.Sum64String(name))
}

// class is a priority and a workspace, whose requests have the same share. Workspace 0
// stands for requests without a workspace, and otherID for workspaces that are summed.
type class struct {
	priority  uint8
	workspace id
}

// otherID stands for the workspaces that a report does not name.
const otherID id = math.MaxUint32

// upstreamRates are the rates of responses of one upstream.
type upstreamRates struct{ completed, rejected float64 }

// report holds the rates of one router for one service.
type report struct {
	service id
	// latency and objective are the sums of the latencies and of the objectives of the
	// completed requests, in milliseconds per second.
	latency, objective float64
	demand             map[class]float64
	upstreams          map[id]upstreamRates
}

// completed returns the rate of completed requests over all upstreams.
func (r *report) completed() (sum float64) {
	for _, u := range r.upstreams {
		sum += u.completed
	}
	return sum
}

// compact sums the classes with the least demand, so that at most limit remain named.
func (r *report) compact(limit int) {
	if len(r.demand) <= limit {
		return
	}
	var classes []class
	for c := range r.demand {
		classes = append(classes, c)
	}
	slices.SortFunc(classes, func(a, b class) int {
		switch x, y := r.demand[a], r.demand[b]; {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return int(a.workspace) - int(b.workspace)
	})
	for _, c := range classes[limit:] {
		n := r.demand[c]
		delete(r.demand, c)
		r.demand[class{c.priority, otherID}] += n
	}
}

// append encodes the report.
func (r *report) append(d []byte) []byte {
	r.compact(maxReportedClasses)
	d = binary.BigEndian.AppendUint32(d, uint32(r.service))
	d = appendRate(d, r.latency)
	d = appendRate(d, r.objective)
	n := min(len(r.upstreams), maxReportedUpstreams)
	d = append(d, byte(n))
	for u, s := range r.upstreams {
		if n == 0 {
			break
		}
		n--
		d = binary.BigEndian.AppendUint32(d, uint32(u))
		d = appendRate(d, s.completed)
		d = appendRate(d, s.rejected)
	}
	d = append(d, byte(len(r.demand)))
	for c, demand := range r.demand {
		d = append(d, c.priority)
		d = binary.BigEndian.AppendUint32(d, uint32(c.workspace))
		d = appendRate(d, demand)
	}
	return d
}

func appendRate(d []byte, rate float64) []byte {
	return binary.AppendUvarint(d, uint64(math.Round(max(0, rate)*rateScale)))
}

// decoder reads the fields of a section. After an error all results are zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if d.failed || len(d.rest) < n {
		d.failed = true
		return make([]byte, n)
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) count() int { return int(d.take(1)[0]) }

func (d *decoder) id() id { return id(binary.BigEndian.Uint32(d.take(4))) }

func (d *decoder) rate() float64 {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return min(float64(v)/rateScale, maxEncodedRate)
}

// decodeReports decodes a section.
func decodeReports(section []byte) ([]*report, error) {
	d := &decoder{rest: section}
	if format := d.count(); d.failed || format != reportFormat {
		return nil, errMalformed
	}
	var reports []*report
	for len(d.rest) > 0 && !d.failed {
		r := &report{service: d.id(), latency: d.rate(), objective: d.rate(), demand: map[class]float64{}, upstreams: map[id]upstreamRates{}}
		for range d.count() {
			u := d.id()
			r.upstreams[u] = upstreamRates{completed: d.rate(), rejected: d.rate()}
		}
		for range d.count() {
			c := class{priority: uint8(d.count()), workspace: d.id()}
			r.demand[c] = d.rate()
		}
		reports = append(reports, r)
	}
	if d.failed {
		return nil, errMalformed
	}
	return reports, nil
}
