package entry

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
	// MaxHeaderBytes bounds the header of a request, in bytes.
	MaxHeaderBytes = 16 << 10
	// StatusClientClosedRequest stands in events for a caller that left before the response.
	StatusClientClosedRequest = 499
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// NewRequestID returns an id that begins with the caller's own. The rest is
// random, because engines cancel and resume by this id alone, and two callers
// may use the same.
func NewRequestID(callerID string) string {
	var random [12]byte
	_, _ = rand.Read(random[:]) // never fails
	suffix := hex.EncodeToString(random[:])
	if requestIDPattern.MatchString(callerID) {
		return callerID + "." + suffix
	}
	return suffix
}

// HeaderSize returns the size of a header in bytes, as sent in HTTP/1.1.
func HeaderSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// SetFailureHeaders sets the fields of an answer that tells a caller of a failure:
// whether the request ran, and when to come back if that is known.
func SetFailureHeaders(h http.Header, v verdict.Verdict, retryAfter time.Duration) {
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, v.String())
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

// BearerKey returns the bearer key of a request, empty if it has none.
func BearerKey(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// validClasses are the values that Hemlock-Class may have; an empty one means the
// class of the workspace.
var validClasses = map[string]bool{"interactive": true, "standard": true, "batch": true, "": true}

// ValidClass reports whether a request may name the class.
func ValidClass(class string) bool { return validClasses[class] }

// CombineVerdicts returns the verdict over two attempts: one that ran, or may have run,
// makes "no" untrue for the request.
func CombineVerdicts(a, b verdict.Verdict) verdict.Verdict {
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.Unknown} {
		if a == v || b == v {
			return v
		}
	}
	return verdict.NotRun
}
