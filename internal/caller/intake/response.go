package intake

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// responseRoomWait is how long a response waits for room, and responseRoomPoll the
	// time between two attempts. Other responses end meanwhile.
	responseRoomWait = 250 * time.Millisecond
	responseRoomPoll = 10 * time.Millisecond
)

// ResponseBudget is the memory for what is held of the response to one attempt. A part
// that is relayed as a whole, such as an event, is held until it is complete.
type ResponseBudget struct {
	ctx     context.Context
	account *Connection
	held    atomic.Int64
}

// NewResponseBudget returns a budget without reservations, of the account of a caller's
// connection, nil for no limit. It stops waiting for room when ctx ends.
func NewResponseBudget(ctx context.Context, c *Connection) *ResponseBudget {
	return &ResponseBudget{ctx: ctx, account: c}
}

// Reserve reserves n bytes, and waits for a moment if there is no room. It returns false
// if there still is none.
func (b *ResponseBudget) Reserve(n int64) bool {
	end := clock.Now().Add(responseRoomWait)
	for !b.account.TryReserve(Responses, n) {
		if clock.Now() >= end || b.ctx.Err() != nil {
			return false
		}
		clock.Sleep(b.ctx, responseRoomPoll)
	}
	b.held.Add(n)
	return true
}

// Release releases n reserved bytes.
func (b *ResponseBudget) Release(n int64) {
	b.held.Add(-n)
	b.account.Release(Responses, n)
}

// ReleaseAll releases all reserved bytes.
func (b *ResponseBudget) ReleaseAll() { b.account.Release(Responses, b.held.Swap(0)) }
