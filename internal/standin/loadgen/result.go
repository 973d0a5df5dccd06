package loadgen

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The latency histograms hold microseconds up to maxLatency. All histograms keep
// three significant digits.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// The skew histogram holds thousandths: the skew times skewScale, at most maxSkew.
const (
	skewScale = 1000
	maxSkew   = 1000 * skewScale
)

// Result is the summary of a run. The generator's lock guards it during the run.
type Result struct {
	counts     map[string]int64
	histograms map[string]*hdrhistogram.Histogram
	skew       *hdrhistogram.Histogram
	phases     []*Result // nil without PhaseStarts
	refusedIDs []string  // IDs of requests that were rejected as not executed
}

// newResult returns an empty result with one phase more than phaseStarts, or
// without phases if that is 0.
func newResult(phaseStarts int) *Result {
	r := &Result{
		counts: map[string]int64{}, histograms: map[string]*hdrhistogram.Histogram{},
		skew: hdrhistogram.New(1, maxSkew, significantDigits),
	}
	for _, name := range []string{
		"complete", "wrong", "cut_stated", "cut_broken", "cut_unstated", "no_response", "prompt_tokens", "cached_tokens",
		"returning_turns", "returning_prompt_tokens", "returning_cached_tokens", "returning_best_tokens",
	} {
		r.counts[name] = 0
	}
	for _, name := range []string{"first_token", "between_tokens", "total"} {
		r.histograms[name] = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	for range phaseStarts {
		r.phases = append(r.phases, newResult(0))
	}
	if phaseStarts > 0 {
		r.phases = append(r.phases, newResult(0))
	}
	return r
}

// RefusedIDs returns the IDs of the requests that were rejected as not executed.
func (r *Result) RefusedIDs() []string { return r.refusedIDs }

// Count returns a counter of the summary, such as "complete" or "wrong".
func (r *Result) Count(name string) int64 { return r.counts[name] }

// addResponse counts a response in the result and in its phase. reusableTokens is
// the number of prompt tokens that an engine has computed before, 0 for the first
// turn of a chat.
func (r *Result) addResponse(phase int, outcome string, response ChatResponse, reusableTokens int) {
	if len(r.phases) > 0 {
		r.phases[phase].addResponse(0, outcome, response, reusableTokens)
	}
	r.counts[outcome]++
	if outcome != "complete" {
		return
	}
	r.counts["prompt_tokens"] += int64(response.PromptTokens)
	r.counts["cached_tokens"] += int64(response.CachedTokens)
	if reusableTokens > 0 {
		r.counts["returning_turns"]++
		r.counts["returning_prompt_tokens"] += int64(response.PromptTokens)
		r.counts["returning_cached_tokens"] += int64(response.CachedTokens)
		r.counts["returning_best_tokens"] += int64(reusableTokens)
	}
	r.recordLatency("first_token", response.TimeToFirstToken)
	r.recordLatency("total", response.Duration)
	for _, d := range response.InterTokenLatencies {
		r.recordLatency("between_tokens", d)
	}
}

func (r *Result) recordLatency(name string, d time.Duration) {
	_ = r.histograms[name].RecordValue(min(d, maxLatency).Microseconds()) // within the range
}

// setElapsed sets the duration of the run and of its phases.
func (r *Result) setElapsed(elapsed time.Duration, phaseStarts []time.Duration) {
	r.counts["elapsed_ms"] = elapsed.Milliseconds()
	var from time.Duration
	for i, p := range r.phases {
		to := elapsed
		if i < len(phaseStarts) {
			to = min(phaseStarts[i], elapsed)
		}
		p.counts["elapsed_ms"] = (to - from).Milliseconds()
		from = to
	}
}

// Write writes the summary as sorted lines of key=value, times in milliseconds.
// The keys of a phase have the prefix phase0_, phase1_ and so on.
func (r *Result) Write(w io.Writer) error {
	lines := r.summaryLines("")
	for i, p := range r.phases {
		lines = append(lines, p.summaryLines(fmt.Sprintf("phase%d_", i))...)
	}
	slices.Sort(lines)
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

func (r *Result) summaryLines(prefix string) []string {
	var lines []string
	for name, n := range r.counts {
		lines = append(lines, fmt.Sprintf("%s%s=%d", prefix, name, n))
	}
	for name, h := range r.histograms {
		for _, q := range []float64{50, 95, 99, 100} {
			ms := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
			lines = append(lines, fmt.Sprintf("%s%s_ms_p%g=%.3f", prefix, name, q, ms.Seconds()*1000))
		}
	}
	if r.skew.TotalCount() == 0 {
		return lines
	}
	lines = append(lines, fmt.Sprintf("%sskew_samples=%d", prefix, r.skew.TotalCount()),
		fmt.Sprintf("%sskew_mean=%.3f", prefix, r.skew.Mean()/skewScale))
	for _, q := range []float64{50, 95, 100} {
		lines = append(lines, fmt.Sprintf("%sskew_p%g=%.3f", prefix, q, float64(r.skew.ValueAtQuantile(q))/skewScale))
	}
	return lines
}
