package admin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
)

const (
	// maxWorkspaces bounds the memory of histograms. Further workspaces are counted
	// together as "other".
	maxWorkspaces = 256
	otherKey      = "other"
	// maxMilliseconds is the largest value of a histogram, one hour. Longer times are
	// recorded as this value.
	maxMilliseconds = 3600 * 1000
	// significantDigits of 1 keeps a histogram at about 3 KB, with an error of at most
	// 1 in 16.
	significantDigits = 1
)

// measures are the durations that requestStats keeps histograms of.
var measures = []struct {
	name  string
	value func(e admission.RequestSummary) time.Duration
}{
	{"queue_ms", func(e admission.RequestSummary) time.Duration { return e.QueueTime }},
	{"first_token_ms", func(e admission.RequestSummary) time.Duration { return e.TimeToFirstToken }},
	{"between_tokens_ms", func(e admission.RequestSummary) time.Duration { return e.BetweenTokens }},
	{"total_ms", func(e admission.RequestSummary) time.Duration { return e.TotalTime }},
}

// requestStats holds the histograms and counts of one workspace or class.
type requestStats struct {
	histograms []*hdrhistogram.Histogram
	verdicts   map[string]int64
	tokens     map[string]int64
}

func newRequestStats() *requestStats {
	r := &requestStats{verdicts: map[string]int64{}, tokens: map[string]int64{}}
	for range measures {
		r.histograms = append(r.histograms, hdrhistogram.New(1, maxMilliseconds, significantDigits))
	}
	return r
}

func (r *requestStats) add(s admission.RequestSummary) {
	for i, m := range measures {
		if d := m.value(s); d > 0 {
			// The value is capped, so RecordValue cannot fail.
			_ = r.histograms[i].RecordValue(min(d.Milliseconds(), maxMilliseconds))
		}
	}
	r.verdicts[s.Verdict.String()]++
	r.tokens["prompt"] += int64(s.PromptTokens)
	r.tokens["cached"] += int64(s.CachedTokens)
	r.tokens["output"] += int64(s.OutputTokens)
}

// summary is the JSON form of requestStats.
type summary struct {
	Verdicts map[string]int64            `json:"requests"`
	Tokens   map[string]int64            `json:"tokens"`
	Times    map[string]map[string]int64 `json:"times"`
}

func (r *requestStats) summary() summary {
	s := summary{Verdicts: r.verdicts, Tokens: r.tokens, Times: map[string]map[string]int64{}}
	for i, m := range measures {
		h := r.histograms[i]
		s.Times[m.name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtPercentile(50),
			"p95": h.ValueAtPercentile(95), "p99": h.ValueAtPercentile(99), "max": h.Max(),
		}
	}
	return s
}

// Metrics keeps request counts, token counts and histograms of durations in
// milliseconds, for each workspace and class. It implements expvar.Var and is safe
// for concurrent use.
type Metrics struct {
	mu         sync.Mutex
	workspaces map[string]*requestStats
	classes    map[string]*requestStats
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{workspaces: map[string]*requestStats{}, classes: map[string]*requestStats{}}
}

// RequestEnded adds an ended request to the statistics of its workspace and class.
func (m *Metrics) RequestEnded(s admission.RequestSummary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	statsFor(m.workspaces, s.Workspace).add(s)
	statsFor(m.classes, s.Class).add(s)
}

// statsFor returns the statistics for name. An empty name and names beyond
// maxWorkspaces share those of otherKey.
func statsFor(stats map[string]*requestStats, name string) *requestStats {
	if s, ok := stats[name]; ok {
		return s
	}
	if name == "" || len(stats) >= maxWorkspaces {
		name = otherKey
	}
	if stats[name] == nil {
		stats[name] = newRequestStats()
	}
	return stats[name]
}

// String returns the metrics as JSON, as expvar.Var requires.
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
