package answer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// maxRetryAfter is the longest wait that is taken for one; a date or an absurd
// number is none.
const maxRetryAfter = time.Hour

// refusalStatuses are the statuses with which an upstream may state that it did not
// run a request.
var refusalStatuses = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// IsRefusalStatus reports whether an answer with the status may state that the request
// did not run.
func IsRefusalStatus(status int) bool { return refusalStatuses[status] }

// ReportsNotRun reports whether an answer states that the request did not run.
func ReportsNotRun(resp *http.Response) bool {
	return IsRefusalStatus(resp.StatusCode) && verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun
}

// RetryAfter returns the wait that a header asks for, in seconds that may have a
// fraction, or 0 if there is none that can be read.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
