package httpresponse

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// maxRetryAfter is the longest Retry-After value that is used. Larger values and
// dates are ignored.
const maxRetryAfter = time.Hour

// refusalStatuses are the statuses with which an upstream may report that it did
// not run a request.
var refusalStatuses = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// IsRefusalStatus reports whether a response with the status may report that the
// request did not run.
func IsRefusalStatus(status int) bool { return refusalStatuses[status] }

// ReportsNotRun reports whether a response has a refusal status and a verdict
// header that says that the request did not run.
func ReportsNotRun(resp *http.Response) bool {
	return IsRefusalStatus(resp.StatusCode) && verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun
}

// RetryAfter returns the wait of the Retry-After field, whose seconds may have a
// fraction. It returns 0 if the field is missing, invalid or above one hour.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
