package answer

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// longestWait is the longest wait that is taken for one; a date or an absurd
// number is none.
const longestWait = time.Hour

// refusals are the statuses with which an upstream may state that it did not
// run a request.
var refusals = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// Refusal reports whether an answer with the status may state that the request
// did not run.
func Refusal(status int) bool { return refusals[status] }

// StatedNotRun reports whether an answer states that the request did not run.
func StatedNotRun(res *http.Response) bool {
	return Refusal(res.StatusCode) && verdict.Parse(res.Header.Get(verdict.Header)) == verdict.NotRun
}

// RetryAfter returns the wait that a header asks for, in seconds that may have a
// fraction, or 0 if there is none that can be read.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0) || s > longestWait.Seconds() {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
