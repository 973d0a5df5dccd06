package chat

import (
	"context"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// maxCrashDelay is the time after the first chunk of a response in which its request
// counts as a possible cause of a crash. It includes attempts to resume the stream.
const maxCrashDelay = 2 * time.Second

// Attempt describes an attempt whose connection was lost.
type Attempt struct {
	// RequestID is the ID of the request, and Parts are the hashes of the messages
	// that other requests may share.
	RequestID, Model string
	Parts            []uint64
	// Upstream is the ID of the engine, and Address its "host:port".
	Upstream, Address string
}

// PartGuard keeps requests with prompt parts on which engines crash from them. It must
// be safe for concurrent use.
type PartGuard interface {
	// Check returns an error with a verdict, a status and a Retry-After time if a new
	// request with these parts is refused.
	Check(model string, parts []uint64) error
	// CheckRetry does so for an attempt after the first.
	CheckRetry(model string, parts []uint64) error
	// ConnectionLost records that an engine ended the connection of an attempt, or
	// refused it.
	ConnectionLost(ctx context.Context, a Attempt)
	// Succeeded records that the response to a request with these parts began at a
	// time and is complete.
	Succeeded(model string, parts []uint64, began time.Time)
}

// noGuard lets all requests pass.
type noGuard struct{}

func (noGuard) Check(string, []uint64) error { return nil }

func (noGuard) CheckRetry(string, []uint64) error { return nil }

func (noGuard) ConnectionLost(context.Context, Attempt) {}

func (noGuard) Succeeded(string, []uint64, time.Time) {}

// WithPartGuard sets the guard, without which all requests are sent.
func WithPartGuard(g PartGuard) Option { return func(h *Handler) { h.guard = g } }

// checkParts returns an error if parts of the prompt must not be sent.
func (x *exchange) checkParts() error {
	check := x.handler.guard.Check
	if x.summary.Attempts > 0 {
		check = x.handler.guard.CheckRetry
	}
	if err := check(x.request.model, x.request.parts); err != nil {
		return &admissionError{err: err}
	}
	return nil
}

// reportParts tells the guard how an attempt ended.
func (x *exchange) reportParts(ctx context.Context, upstream, address string, result engine.Result, err error) {
	if len(x.request.parts) == 0 {
		return
	}
	switch {
	case err == nil:
		x.handler.guard.Succeeded(x.request.model, x.request.parts, x.firstChunkAt)
	case result.ConnectionLost() && (x.firstChunkAt.IsZero() || time.Since(x.firstChunkAt) < maxCrashDelay):
		x.handler.guard.ConnectionLost(ctx, Attempt{
			RequestID: x.summary.RequestID, Model: x.request.model, Parts: x.request.parts, Upstream: upstream, Address: address,
		})
	}
}
