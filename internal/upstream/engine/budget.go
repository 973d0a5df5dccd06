package engine

import "errors"

// ErrNoRoom means that the budget has no room for an event or a chunk.
var ErrNoRoom = errors.New("no memory for an event of the stream")

// freeBufferBytes is the size of a buffer for events that needs no reservation. Most
// events are shorter.
const freeBufferBytes = 8 << 10

// Budget limits the memory for events that are incomplete and chunks that wait for an
// earlier one.
type Budget interface {
	// Reserve reserves n bytes, and returns false if there is no room for them.
	Reserve(n int64) bool
	// Release releases n reserved bytes.
	Release(n int64)
}

// reservation is what one user of a budget has reserved. Without a budget there is no
// limit.
type reservation struct {
	budget Budget
	held   int64
}

func (r *reservation) add(n int) error {
	if n <= 0 || r.budget == nil {
		return nil
	}
	if !r.budget.Reserve(int64(n)) {
		return ErrNoRoom
	}
	r.held += int64(n)
	return nil
}

func (r *reservation) release(n int64) {
	if n > 0 && r.budget != nil {
		r.budget.Release(n)
		r.held -= n
	}
}
