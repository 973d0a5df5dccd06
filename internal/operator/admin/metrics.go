package admin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
)

const (
	// maxWorkspaces bounds the memory of histograms: the rest of the
	// workspaces share the row "other".
	maxWorkspaces = 256
	otherRow      = "other"
	// maxMillis is the largest time a histogram tells apart, one hour.
	maxMillis = 3600 * 1000
	// significantDigits of 1 keeps a histogram at about 3 KB with an error of
	// at most 1 in 16.
	significantDigits = 1
)

// measures are the times that each row keeps a histogram of.
var measures = []struct {
	name string
	of   func(e admission.RequestSummary) time.Duration
}{
	{"queue_ms", func(e admission.RequestSummary) time.Duration { return e.Queue }},
	{"first_token_ms", func(e admission.RequestSummary) time.Duration { return e.FirstToken }},
	{"between_tokens_ms", func(e admission.RequestSummary) time.Duration { return e.BetweenTokens }},
	{"total_ms", func(e admission.RequestSummary) time.Duration { return e.Total }},
}

// row is the histograms and counts of one workspace or class.
type row struct {
	times    []*hdrhistogram.Histogram
	verdicts map[string]int64
	tokens   map[string]int64
}

func newRow() *row {
	r := &row{verdicts: map[string]int64{}, tokens: map[string]int64{}}
	for range measures {
		r.times = append(r.times, hdrhistogram.New(1, maxMillis, significantDigits))
	}
	return r
}

func (r *row) add(e admission.RequestSummary) {
	for i, m := range measures {
		if d := m.of(e); d > 0 {
			// Longer times count as the largest.
			_ = r.times[i].RecordValue(min(d.Milliseconds(), maxMillis))
		}
	}
	r.verdicts[e.Verdict.String()]++
	r.tokens["prompt"] += int64(e.PromptTokens)
	r.tokens["cached"] += int64(e.CachedTokens)
	r.tokens["output"] += int64(e.OutputTokens)
}

// summary is the JSON form of a row.
type summary struct {
	Verdicts map[string]int64            `json:"requests"`
	Tokens   map[string]int64            `json:"tokens"`
	Times    map[string]map[string]int64 `json:"times"`
}

func (r *row) summary() summary {
	s := summary{Verdicts: r.verdicts, Tokens: r.tokens, Times: map[string]map[string]int64{}}
	for i, m := range measures {
		h := r.times[i]
		s.Times[m.name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtPercentile(50),
			"p95": h.ValueAtPercentile(95), "p99": h.ValueAtPercentile(99), "max": h.Max(),
		}
	}
	return s
}

// Metrics keeps histograms of times for each workspace and class, in
// milliseconds. It is an expvar.Var and safe for concurrent use.
type Metrics struct {
	mu         sync.Mutex
	workspaces map[string]*row
	classes    map[string]*row
}

// NewMetrics returns metrics without any row.
func NewMetrics() *Metrics {
	return &Metrics{workspaces: map[string]*row{}, classes: map[string]*row{}}
}

// RequestEnded adds a finished request.
func (m *Metrics) RequestEnded(e admission.RequestSummary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rowOf(m.workspaces, e.Workspace).add(e)
	rowOf(m.classes, e.Class).add(e)
}

func rowOf(rows map[string]*row, name string) *row {
	if r, ok := rows[name]; ok {
		return r
	}
	if name == "" || len(rows) >= maxWorkspaces {
		name = otherRow
	}
	if rows[name] == nil {
		rows[name] = newRow()
	}
	return rows[name]
}

// String returns the rows as JSON, as expvar.Var asks.
func (m *Metrics) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]map[string]summary{"workspace": {}, "class": {}}
	for name, r := range m.workspaces {
		out["workspace"][name] = r.summary()
	}
	for name, r := range m.classes {
		out["class"][name] = r.summary()
	}
	text, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(text)
}
