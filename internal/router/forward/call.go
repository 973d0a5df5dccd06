package forward

import (
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// RequestInfo is what a caller's request says beside its method, target and body.
type RequestInfo struct {
	// ID identifies the request at the caller and the upstream.
	ID string
	// APIKey is the API key, empty if there is none.
	APIKey string
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout time.Duration
	// Prefixes names the parts of the prompt that other requests share, the widest
	// first; each name includes the parts before it.
	Prefixes []string
	// Header holds the fields that are passed on unchanged.
	Header http.Header
}

// affinityKey names what requests of the same chat or document have in common:
// the longest shared part of the prompt, empty if there is none.
func (c RequestInfo) affinityKey() string {
	if len(c.Prefixes) == 0 {
		return ""
	}
	return c.Prefixes[len(c.Prefixes)-1]
}

// Attempt is one sending of a call to an upstream.
type Attempt struct {
	// Upstream must serve the request; others reject it.
	Upstream *directory.Upstream
	// Workspace is the name of the caller's workspace, empty without keys.
	Workspace string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Priority is the priority, 0 for the most urgent.
	Priority int
	// CopyFrom is the address of an engine from which the upstream copies what it
	// lacks of the prompt, empty if it computes that.
	CopyFrom string
	// ResumeAfter is the id of the last event that was relayed, empty unless
	// the attempt resumes a stream.
	ResumeAfter string
}

// ResponseInfo is what the header of an upstream's answer says.
type ResponseInfo struct {
	// ID is the request that the answer belongs to, empty if it does not say.
	ID string
	// Signed reports whether the answer carries the upstream's signature.
	Signed bool
	// NotRun reports whether the upstream states that it did not run the request.
	NotRun bool
	// RetryAfter is how long the upstream asks to be left alone, 0 if it does not.
	RetryAfter time.Duration
	// Load is how many requests the upstream has in progress or waiting, 0 if it
	// does not say.
	Load int
	// OtherIncarnation reports whether another upstream has the address.
	OtherIncarnation bool
}

// Protocol translates between a wire protocol and the types of this package.
type Protocol interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// RequestHeader returns the header of an attempt.
	RequestHeader(c RequestInfo, a Attempt) http.Header
	// ParseResponse reads the header of an upstream's answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRequestID adds the request's id to an answer of the router's own.
	SetRequestID(h http.Header, id string)
}
