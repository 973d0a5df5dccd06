package httpapi

import (
	"crypto/rand"
	"encoding/hex"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

const (
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes = 16 << 10
	// StatusClientClosedRequest is the status in request summaries for a caller
	// that disconnected before the response.
	StatusClientClosedRequest = 499
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// NewRequestID returns a request ID that starts with the caller's, if that is
// valid, and ends in a random suffix. Engines cancel and resume by this ID alone,
// and two callers may send the same one.
func NewRequestID(callerID string) string {
	var random [12]byte
	_, _ = rand.Read(random[:]) // never fails
	suffix := hex.EncodeToString(random[:])
	if requestIDPattern.MatchString(callerID) {
		return callerID + "." + suffix
	}
	return suffix
}

// HeaderSize returns the size of a header in bytes when encoded as HTTP/1.1.
func HeaderSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// SetFailureHeaders sets the headers of an error response: the content type, the
// verdict whether the request ran, and Retry-After unless retryAfter is 0.
func SetFailureHeaders(h http.Header, v verdict.Verdict, retryAfter time.Duration) {
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, v.String())
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

// BearerKey returns the bearer key of a request, or an empty string.
func BearerKey(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// validClasses are the values allowed in Hemlock-Class. The empty value selects
// the class of the workspace.
var validClasses = map[string]bool{"interactive": true, "standard": true, "batch": true, "": true}

// ValidClass reports whether class is a valid value of Hemlock-Class.
func ValidClass(class string) bool { return validClasses[class] }

// CombineVerdicts returns the verdict over two attempts of a request: Ran if
// either ran, otherwise Unknown if either may have run, otherwise NotRun.
func CombineVerdicts(a, b verdict.Verdict) verdict.Verdict {
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.Unknown} {
		if a == v || b == v {
			return v
		}
	}
	return verdict.NotRun
}
