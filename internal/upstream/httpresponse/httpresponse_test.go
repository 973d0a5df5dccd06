package httpresponse

import (
	"net/http"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// TestRetryAfter guards against invalid Retry-After values that are taken for a
// wait.
func TestRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"1": time.Second, "0.25": 250 * time.Millisecond, "3600": time.Hour, "": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0,
		"3601": 0, "Fri, 04 Dec 2026 00:00:00 GMT": 0,
	} {
		if got := RetryAfter(http.Header{"Retry-After": {value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

// TestReportsNotRun guards against a response that is taken for a refusal
// although its status or its verdict header says otherwise.
func TestReportsNotRun(t *testing.T) {
	for _, c := range []struct {
		status   int
		executed string
		want     bool
	}{
		{429, "no", true},
		{503, "no", true},
		{503, "", false},
		{503, "unknown", false},
		{500, "no", false},
		{200, "no", false},
	} {
		r := &http.Response{StatusCode: c.status, Header: http.Header{}}
		r.Header.Set(verdict.Header, c.executed)
		if got := ReportsNotRun(r); got != c.want {
			t.Errorf("%d with %q: %t, want %t", c.status, c.executed, got, c.want)
		}
	}
}
