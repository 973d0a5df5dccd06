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
	// MaxHeader bounds the header of a request, in bytes.
	MaxHeader = 16 << 10
	// StatusGone stands in events for a caller that left before the response.
	StatusGone = 499
)

var requestIDs = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// RequestID returns an id that begins with the caller's own. The rest is
// random, because engines cancel and resume by this id alone, and two callers
// may use the same.
func RequestID(given string) string {
	var random [12]byte
	_, _ = rand.Read(random[:]) // never fails
	id := hex.EncodeToString(random[:])
	if requestIDs.MatchString(given) {
		return given + "." + id
	}
	return id
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

// SetFailure sets the fields of an answer that tells a caller of a failure:
// whether the request ran, and when to come back if that is known.
func SetFailure(h http.Header, v verdict.Verdict, retryAfter time.Duration) {
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

// classes are the values that Hemlock-Class may have; an empty one means the
// class of the workspace.
var classes = map[string]bool{"interactive": true, "standard": true, "batch": true, "": true}

// KnownClass reports whether a request may name the class.
func KnownClass(class string) bool { return classes[class] }

// Worse returns the verdict over two attempts: one that ran, or may have run,
// makes "no" untrue for the request.
func Worse(a, b verdict.Verdict) verdict.Verdict {
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.Unknown} {
		if a == v || b == v {
			return v
		}
	}
	return verdict.NotRun
}
