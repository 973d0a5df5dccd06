package admission

import (
	"context"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// Request describes one attempt of a request that wants to be admitted.
type Request struct {
	// RequestID is the same for all attempts of a request.
	RequestID string
	// Workspace is the tenant that the bearer key names.
	Workspace string
	// Class is "interactive", "standard" or "batch", empty for the default of
	// the workspace.
	Class string
	// Service is set for plain services and empty for chats.
	Service string
	// Model is set for chats and empty for plain services.
	Model string
	// Chat is the placement key: of the chat, or of the request id for plain
	// services.
	Chat uint64
	// Tokens estimates the prompt and output tokens, 0 for plain services.
	Tokens uint32
	// Attempt is 1 for the first attempt of a request.
	Attempt uint32
	// Exclude lists the upstreams that failed earlier attempts.
	Exclude []string
}

// Report is the outcome of one attempt, as far as admission needs it.
type Report struct {
	// OK is true if the upstream responded completely.
	OK bool
	// ConnectionLost is true if the connection was refused or reset, which
	// suggests that the upstream restarted.
	ConnectionLost bool
	// FirstToken is the time from sending to the first token, 0 if none came.
	FirstToken time.Duration
	// PromptTokens, CachedTokens and OutputTokens are the usage that the
	// engine reported, 0 if it reported none.
	PromptTokens, CachedTokens, OutputTokens int
	// Boot is the boot identity of the upstream, empty if it showed none.
	Boot string
}

// Grant is the permission to send one attempt to one upstream.
type Grant interface {
	// Attempt is the number of the attempt that was asked for.
	Attempt() uint32
	// UpstreamID is the name of the upstream in the host list.
	UpstreamID() string
	// Address is the "host:port" of the upstream.
	Address() string
	// Priority is the value of Request-Priority for engines, which serve a lower
	// number first.
	Priority() int
	// Resume reports whether a broken stream may be resumed at the upstream.
	Resume() bool
	// TrustNotRun reports whether the upstream's own statement that a request
	// was not executed is trusted.
	TrustNotRun() bool
	// Release ends the grant and must be called once.
	Release(r Report)
}

// Admission admits attempts to upstreams. It is safe for concurrent use.
type Admission interface {
	// Acquire waits until the attempt is admitted or refused. The error carries
	// a verdict, an HTTP status and an advised wait.
	Acquire(ctx context.Context, a Request) (Grant, error)
}

// KeyResolver resolves bearer keys.
type KeyResolver interface {
	// Workspace returns the workspace of a bearer key, false if the key is not
	// valid.
	Workspace(key string) (string, bool)
}

// RequestSummary describes a request that ended.
type RequestSummary struct {
	// RequestID, Workspace, Class, Service and Model are those of the Ask.
	RequestID, Workspace, Class, Service, Model string
	// Upstream served the last attempt, empty if none was granted.
	Upstream string
	// Attempts counts the grants that the request used.
	Attempts int
	// Verdict is what the caller was told.
	Verdict verdict.Verdict
	// Status is the HTTP status that the caller got, 499 if it had gone.
	Status int
	// Err is the error that ended the request, nil if it was completed.
	Err error
	// Start is when the request arrived.
	Start time.Time
	// Queue is the time spent in admission over all attempts.
	Queue time.Duration
	// FirstToken is the time from arrival to the first token, 0 if none came.
	FirstToken time.Duration
	// BetweenTokens is the mean and LongestGap the maximum time between the
	// content chunks of a stream.
	BetweenTokens, LongestGap time.Duration
	// Total is the time from arrival to the end.
	Total time.Duration
	// PromptTokens, CachedTokens and OutputTokens are the engine's usage.
	PromptTokens, CachedTokens, OutputTokens int
}

// Observer receives the event of each ended request. It must not block and
// must be safe for concurrent use.
type Observer interface {
	// RequestEnded is called once for each request.
	RequestEnded(e RequestSummary)
}
