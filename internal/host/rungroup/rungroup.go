package rungroup

import (
	"context"
	"errors"
	"fmt"
)

// result is the outcome of one goroutine.
type result struct {
	name string
	err  error
}

// Group is a set of goroutines that stop together: when one returns, with or
// without an error, the context of the others is cancelled. Go and Wait must be
// called from the same goroutine.
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

// Context returns the context that the goroutines run with.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a goroutine. The error from Wait starts with name if run fails.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.running++
	go func() {
		g.results <- result{name: name, err: run(g.ctx)}
	}()
}

// Stop cancels the context of the group.
func (g *Group) Stop() { g.cancel() }

// Wait waits for all goroutines and returns the first error that is not
// context.Canceled, or nil.
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
