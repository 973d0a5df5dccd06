package chat

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// streamWriter passes the chunks of a stream on to its caller. It keeps no chunk: a
// slow caller blocks the reading from the engine until the write limit.
type streamWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	rewriter     *chunkRewriter
	writeTimeout time.Duration
	headerSent   bool
	unflushed    bool // written but not flushed
}

// reset has nothing to forget: only a relay without output is used again.
func (r *streamWriter) reset() {}

// started reports whether the caller got anything.
func (r *streamWriter) started() bool { return r.headerSent }

// writeChunk sends one chunk.
func (r *streamWriter) writeChunk(c engine.Chunk) error {
	event, err := r.rewriter.rewrite(c.Data())
	if err != nil || len(event) == 0 {
		return err
	}
	return r.writeEvent(event)
}

// writeAndFlush writes and flushes.
func (r *streamWriter) writeAndFlush(event []byte) error {
	if err := r.writeEvent(event); err != nil {
		return err
	}
	return r.flush()
}

// flush sends what was written. It is called when the engine has sent nothing
// more, so that chunks that came together leave together; one write to the
// connection for each chunk is the largest cost of a stream.
func (r *streamWriter) flush() error {
	if !r.unflushed {
		return nil
	}
	r.unflushed = false
	if err := r.control.Flush(); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}

// writeEvent writes under the write limit, which holds for the flush as well.
func (r *streamWriter) writeEvent(event []byte) error {
	if err := r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout)); err != nil {
		return &callerWriteError{err: err}
	}
	r.writeHeader()
	r.unflushed = true
	if _, err := r.w.Write(event); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}

// writeHeader sends the header before the first event. The verdict is "yes", since
// a chunk shows that the request runs.
func (r *streamWriter) writeHeader() {
	if r.headerSent {
		return
	}
	r.headerSent = true
	h := r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(verdict.Header, verdict.Ran.String())
	r.w.WriteHeader(http.StatusOK)
}

// finish ends a complete stream.
func (r *streamWriter) finish() error { return r.writeAndFlush([]byte("data: [DONE]\n\n")) }

// writeError sends the failure as a whole response, or as the last events of a
// stream that has begun.
func (r *streamWriter) writeError(f errorResponse) error {
	if !r.headerSent {
		return f.write(r.w)
	}
	executed := f.verdict
	if executed == verdict.NotRun {
		// The header has said that the request ran.
		executed = verdict.Ran
	}
	return r.writeAndFlush(fmt.Appendf(nil, "event: error\ndata: %s\n\nevent: hemlock-executed\ndata: {\"executed\":%q}\n\n", f.body(), executed))
}

// callerWriteError is a failed write to the caller, who is gone or too slow.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string { return "write to the caller: " + e.err.Error() }

func (e *callerWriteError) Unwrap() error { return e.err }
