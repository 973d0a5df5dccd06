package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Header is the name of the response header that carries the verdict.
const Header = "Hemlock-Executed"

// Verdict states whether a request ran at an upstream.
type Verdict int

// The zero value is Unknown, so that a missing verdict never claims that a
// request did not run.
const (
	// Unknown means that the request may have run.
	Unknown Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran.
	Ran
)

var names = map[Verdict]string{Unknown: "unknown", NotRun: "no", Ran: "yes"}

// String returns the value of the response header: "no", "yes" or "unknown".
func (v Verdict) String() string { return names[v] }

// Parse reads the value of the response header and returns Unknown for
// anything other than "no" and "yes".
func Parse(s string) Verdict {
	for v, name := range names {
		if name == s {
			return v
		}
	}
	return Unknown
}

// Error is an error with a verdict on the request that it ended.
type Error struct {
	verdict    Verdict
	retryAfter time.Duration
	status     int
	err        error
}

// New returns err with a verdict. err must not be nil.
func New(v Verdict, err error) *Error { return &Error{verdict: v, err: err} }

// Errorf formats an error with fmt.Errorf and adds a verdict.
func Errorf(v Verdict, format string, args ...any) *Error {
	return New(v, fmt.Errorf(format, args...))
}

// WithRetryAfter returns a copy that advises the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// WithStatus returns a copy that sets the HTTP status of the response.
func (e *Error) WithStatus(status int) *Error {
	c := *e
	c.status = status
	return &c
}

// Verdict returns whether the request may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// RetryAfter returns the advised time until a retry, 0 if there is none.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status of the response, 0 if none is set.
func (e *Error) Status() int { return e.status }

// Error returns the text of the wrapped error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// FromError returns the verdict of err: Ran for a nil error, Unknown for an
// error without a verdict.
func FromError(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return Unknown
}

// SafeToRetry reports whether a request that ended in err can be sent again
// without running twice.
func SafeToRetry(err error) bool { return err != nil && FromError(err) == NotRun }
