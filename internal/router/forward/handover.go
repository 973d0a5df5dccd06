package forward

import (
	"context"
	"sync"
	"time"
)

// handover moves a stream from an upstream that sends nothing to another one, the
// successor. The first upstream stays in use until the successor has sent an event: the
// pause may be a long prompt of another request, and the successor may be full. It is
// safe for concurrent use.
type handover struct {
	// try sends the request to another upstream, resuming after an event, and returns
	// once that upstream has sent an event. It returns nil if there is no upstream or the
	// attempt failed.
	try func(ctx context.Context, resumeAfter string) *successor
	// cancel ends the attempt that the successor replaces, and discard a successor that
	// comes too late.
	cancel  func()
	discard func(*successor)

	mu    sync.Mutex
	timer *time.Timer
	armed bool
	limit time.Duration
	// resumeAfter is the ID of the last relayed event.
	resumeAfter string
	// cancelTry ends the current try, which reports its end on ended. Both are nil
	// without one.
	cancelTry context.CancelFunc
	ended     chan struct{}
	successor *successor
}

// newHandover returns a handover that is not armed.
func newHandover(try func(ctx context.Context, resumeAfter string) *successor, cancel func()) *handover {
	h := &handover{try: try, cancel: cancel, discard: (*successor).discard}
	h.timer = time.AfterFunc(time.Hour, h.expire)
	h.timer.Stop()
	return h
}

// arm starts a try after a time without progress. A successor resumes the stream after
// the event with the given ID.
func (h *handover) arm(limit time.Duration, resumeAfter string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed, h.limit, h.resumeAfter = true, limit, resumeAfter
	h.timer.Reset(limit)
}

// pause ends the current try, since the upstream has made progress. It reports whether
// a successor has already taken over, so that the progress came too late.
func (h *handover) pause() (replaced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed = false
	h.timer.Stop()
	if h.cancelTry != nil {
		h.cancelTry()
	}
	return h.successor != nil
}

// close ends the current try, waits for its end, and returns the successor that took
// over, if any.
func (h *handover) close() *successor {
	h.pause()
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
	return h.successor
}

// expire starts a try. A failed one is followed by the next after stallRecheckInterval.
func (h *handover) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.armed || h.successor != nil:
		return
	case h.cancelTry != nil:
		// An earlier try is still ending.
		h.timer.Reset(stallRecheckInterval)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancelTry, h.ended = cancel, make(chan struct{})
	go h.run(ctx, cancel, h.resumeAfter, h.ended)
}

// run makes one try and closes ended.
func (h *handover) run(ctx context.Context, cancel context.CancelFunc, resumeAfter string, ended chan<- struct{}) {
	defer close(ended)
	defer cancel()
	s := h.try(ctx, resumeAfter)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelTry = nil
	switch {
	case s != nil && ctx.Err() == nil:
		h.successor = s
		h.cancel()
	case s != nil:
		h.discard(s)
	case h.armed && ctx.Err() == nil:
		h.timer.Reset(stallRecheckInterval)
	}
}
