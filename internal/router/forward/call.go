package forward

import (
	"iter"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

// RequestInfo is what the header of a caller's request states.
type RequestInfo struct {
	// ID identifies the request to the caller and the upstream.
	ID string
	// APIKey is the API key, empty if there is none.
	APIKey string
	// Timeout is how long the caller waits, 0 if it is not stated.
	Timeout time.Duration
	// Prefixes are the hashes of the prompt prefixes that other requests share,
	// the shortest and most widely shared first. Of a prompt with very many parts
	// some are left out.
	Prefixes []prefix.Hash
	// PlacementKey is the rendezvous key of the longest shared prefix, which
	// requests of the same chat or document have in common. It is meaningful only
	// if there are Prefixes.
	PlacementKey uint64
	// Parts yields the names of the parts of the prompt that other requests share, in
	// order. It is nil if there are none.
	Parts iter.Seq[string]
	// PrefixTokens holds the number of tokens of each of the Prefixes.
	PrefixTokens []int
	// PromptTokens is the number of tokens of the whole prompt, 0 if it is not stated.
	PromptTokens int
	// Header holds the fields that are forwarded unchanged.
	Header http.Header
}

// placementKey returns the rendezvous key of the longest shared prefix, or that of
// the request's ID if there is none or affine is false.
func (r RequestInfo) placementKey(affine bool) uint64 {
	if affine && len(r.Prefixes) > 0 {
		return r.PlacementKey
	}
	return rendezvous.Key(r.ID)
}

// Attempt is one attempt to send a request to an upstream.
type Attempt struct {
	// Upstream is the intended upstream; others must reject the request.
	Upstream *directory.Upstream
	// Workspace is the name of the caller's workspace, empty if the route needs
	// no API key.
	Workspace string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// CopyFrom is the address of an engine from which the upstream can copy the
	// part of the prompt that it has not cached, empty if it must compute it.
	CopyFrom string
	// ResumeAfter is the ID of the last relayed event if the attempt resumes a
	// stream, otherwise empty.
	ResumeAfter string
}

// ResponseInfo is what the header of an upstream's response states.
type ResponseInfo struct {
	// ID is the ID of the request, empty if it is not stated.
	ID string
	// Signed reports whether the response has the upstream's signature.
	Signed bool
	// NotRun reports whether the upstream states that it did not run the request.
	NotRun bool
	// Pause is how long the upstream wants no requests from this router, 0 if it
	// asks for no pause.
	Pause time.Duration
	// PauseErr reports a pause that could not be decoded.
	PauseErr error
	// Leaving reports whether the upstream states that it will stop.
	Leaving bool
	// Load is the load of the upstream.
	Load LoadReport
	// LoadErr reports a load that could not be decoded in whole or in part.
	LoadErr error
	// OtherIncarnation reports whether the address now belongs to another
	// upstream or incarnation.
	OtherIncarnation bool
}

// Protocol translates between the header fields of a wire protocol and the
// types of this package.
type Protocol interface {
	// RequestID returns the ID that the header of a caller's request states.
	RequestID(h http.Header) string
	// ParseRequest reads the header of a caller's request, whose size was checked.
	ParseRequest(h http.Header) RequestInfo
	// RequestHeader returns the header of an attempt.
	RequestHeader(c RequestInfo, a Attempt) http.Header
	// ParseResponse reads the header of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// SetRequestID adds the request ID to a response that the router itself
	// generates.
	SetRequestID(h http.Header, id string)
}
