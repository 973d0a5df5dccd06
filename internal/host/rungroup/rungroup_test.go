package rungroup

import (
	"context"
	"errors"
	"testing"
)

// TestStopTogether guards against goroutines that continue after another one
// failed, and against a cancellation that hides the failure.
func TestStopTogether(t *testing.T) {
	g := New(t.Context())
	failure := errors.New("broken")
	g.Go("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	g.Go("fails", func(context.Context) error { return failure })
	if err := g.Wait(); !errors.Is(err, failure) || err.Error() != "fails: broken" {
		t.Fatalf("Wait returned %v", err)
	}
	if g.Context().Err() == nil {
		t.Fatal("the context of the group is not cancelled")
	}
}

// TestStop guards against a stop that is reported as an error.
func TestStop(t *testing.T) {
	g := New(t.Context())
	g.Go("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	g.Stop()
	if err := g.Wait(); err != nil {
		t.Fatalf("Wait returned %v", err)
	}
}
