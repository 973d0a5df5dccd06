package rungroup

import (
	"context"
	"errors"
	"fmt"
)

// result is the report of one goroutine.
type result struct {
	name string
	err  error
}

// Group is a set of goroutines that stop together: when one ends, with or
// without an error, the context of all others is cancelled. Go and Wait must
// be called from one goroutine.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	results chan result
	running int
}

// New returns an empty group whose context derives from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, results: make(chan result)}
}

// Context returns the context that the members run under.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a member; name appears in the error of Wait.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.running++
	go func() {
		g.results <- result{name: name, err: run(g.ctx)}
	}()
}

// Stop cancels the context of all members.
func (g *Group) Stop() { g.cancel() }

// Wait returns after all members have ended, with the first error that is not
// a cancellation, or nil.
func (g *Group) Wait() error {
	var first error
	for ; g.running > 0; g.running-- {
		r := <-g.results
		g.cancel()
		if r.err != nil && first == nil && !errors.Is(r.err, context.Canceled) {
			first = fmt.Errorf("%s: %w", r.name, r.err)
		}
	}
	return first
}
