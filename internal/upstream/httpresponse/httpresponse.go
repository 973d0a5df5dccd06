package httpresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// maxRetryAfter is the longest Retry-After value that is used. Larger values and
// dates are ignored.
const maxRetryAfter = time.Hour

// maxPause bounds the pause that an upstream can ask for. An upstream that wants
// no requests for longer leaves the service or restarts.
const maxPause = 24 * time.Hour

// refusalStatuses are the statuses with which an upstream may report that it did
// not run a request.
var refusalStatuses = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// IsRefusalStatus reports whether a response with the status may report that the
// request did not run.
func IsRefusalStatus(status int) bool { return refusalStatuses[status] }

// promisingStatuses are the statuses that a caller may take as the promise that its
// request did not run and never will: those of a refusal, and 408 and 421, after which
// RFC 9110 lets clients repeat any request.
var promisingStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// PromisesNotRun reports whether a caller may take a response with the status as the
// promise that its request did not run. Such a response of an upstream must not reach the
// caller of a request that may have run.
func PromisesNotRun(status int) bool { return promisingStatuses[status] }

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

// Pause returns for how long an upstream wants no requests, according to the
// seconds of its Retry-After field, 0 if the field is missing. Unlike RetryAfter,
// which advises callers, it keeps a value of any length up to a day. The error
// reports a value that is not a positive number of seconds.
func Pause(h http.Header) (time.Duration, error) {
	value := h.Get("Retry-After")
	if value == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds >= 0) {
		return 0, fmt.Errorf("Retry-After %.40q is not a number of seconds", value)
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), nil
}

// ErrBodyTooLong means that a body exceeds the limit of LimitBody.
var ErrBodyTooLong = errors.New("body of the response exceeds the size limit")

// LimitBody makes reads of a response's body fail with ErrBodyTooLong after limit
// bytes. Unlike io.LimitReader it does not make a longer body look complete.
func LimitBody(r *http.Response, limit int) {
	r.Body = &limitedBody{r.Body, limit}
}

type limitedBody struct {
	io.ReadCloser
	remaining int
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrBodyTooLong
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
