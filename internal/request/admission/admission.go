package admission

import (
	"context"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// Request asks for the admission of one attempt of a caller's request.
type Request struct {
	// RequestID is the same for all attempts of a request.
	RequestID string
	// Workspace is the workspace of the bearer key.
	Workspace string
	// Class is "interactive", "standard" or "batch", empty for the workspace's
	// default.
	Class string
	// Service is set for plain services and empty for chats.
	Service string
	// Model is set for chats and empty for plain services.
	Model string
	// Chat is the placement key of the chat; for plain services, of the request
	// ID.
	Chat uint64
	// Tokens is the estimated number of prompt and output tokens, 0 for plain
	// services.
	Tokens uint32
	// Attempt is the number of the attempt, starting at 1.
	Attempt uint32
	// Exclude lists the upstreams that failed earlier attempts.
	Exclude []string
}

// Report is the outcome of one attempt, as reported at its end.
type Report struct {
	// OK is true if the upstream sent a complete response.
	OK bool
	// ConnectionLost is true if the connection was refused or reset, which
	// suggests that the upstream restarted.
	ConnectionLost bool
	// TimeToFirstToken is the time from sending to the first token, 0 if none came.
	TimeToFirstToken time.Duration
	// PromptTokens, CachedTokens and OutputTokens are the token counts that the
	// engine reported, 0 if it reported none.
	PromptTokens, CachedTokens, OutputTokens int
	// BootID is the boot ID of the upstream, empty if it sent none.
	BootID string
}

// Grant is the permission to send one attempt to one upstream.
type Grant interface {
	// Attempt returns the number of the requested attempt.
	Attempt() uint32
	// UpstreamID returns the name of the upstream in the host list.
	UpstreamID() string
	// Address returns the "host:port" of the upstream.
	Address() string
	// Priority returns the Request-Priority for engines, which serve lower
	// numbers first.
	Priority() int
	// Resumable reports whether a broken stream may be resumed at the upstream.
	Resumable() bool
	// TrustNotRun reports whether to trust the upstream when it states that it
	// did not execute a request.
	TrustNotRun() bool
	// Release ends the grant. It must be called once.
	Release(r Report)
}

// Admission admits attempts to upstreams. It is safe for concurrent use.
type Admission interface {
	// Acquire blocks until the attempt is admitted or refused. The error
	// carries a verdict, an HTTP status and a Retry-After time.
	Acquire(ctx context.Context, a Request) (Grant, error)
}

// KeyResolver resolves bearer keys.
type KeyResolver interface {
	// Workspace returns the workspace of a bearer key, false if the key is not
	// valid.
	Workspace(key string) (string, bool)
}

// RequestSummary describes a request that has ended.
type RequestSummary struct {
	// RequestID, Workspace, Class, Service and Model are those of the Request.
	RequestID, Workspace, Class, Service, Model string
	// Upstream is the upstream of the last attempt, empty if no attempt was
	// admitted.
	Upstream string
	// Attempts is the number of admitted attempts.
	Attempts int
	// Verdict is the verdict that was sent to the caller.
	Verdict verdict.Verdict
	// Status is the HTTP status of the response, 499 if the caller closed the
	// connection.
	Status int
	// Err is the error that ended the request, nil if it was completed.
	Err error
	// Start is when the request arrived.
	Start time.Time
	// QueueTime is the time spent waiting for admission, over all attempts.
	QueueTime time.Duration
	// TimeToFirstToken is the time from arrival to the first token, 0 if none came.
	TimeToFirstToken time.Duration
	// BetweenTokens is the mean and LongestGap the longest time between the
	// content chunks of a stream.
	BetweenTokens, LongestGap time.Duration
	// TotalTime is the time from arrival to the end.
	TotalTime time.Duration
	// PromptTokens, CachedTokens and OutputTokens are the token counts that the
	// engine reported.
	PromptTokens, CachedTokens, OutputTokens int
}

// Observer receives a summary of each ended request. It must not block and must
// be safe for concurrent use.
type Observer interface {
	// RequestEnded is called once for each request.
	RequestEnded(e RequestSummary)
}
