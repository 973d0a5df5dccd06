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
func (s *streamWriter) reset() {}

// started reports whether the caller got anything.
func (s *streamWriter) started() bool { return s.headerSent }

// writeChunk sends one chunk.
func (s *streamWriter) writeChunk(c engine.Chunk) error {
	event, err := s.rewriter.rewrite(c.Data())
	if err != nil || len(event) == 0 {
		return err
	}
	return s.writeEvent(event)
}

// writeAndFlush writes and flushes.
func (s *streamWriter) writeAndFlush(event []byte) error {
	if err := s.writeEvent(event); err != nil {
		return err
	}
	return s.flush()
}

// flush sends what was written. It is called when the engine has sent nothing
// more, so that chunks that came together leave together; one write to the
// connection for each chunk is the largest cost of a stream.
func (s *streamWriter) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	if err := s.control.Flush(); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}

// writeEvent writes under the write limit, which holds for the flush as well.
func (s *streamWriter) writeEvent(event []byte) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return &callerWriteError{err: err}
	}
	s.writeHeader()
	s.unflushed = true
	if _, err := s.w.Write(event); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}

// writeHeader sends the header before the first event. The verdict is "yes", since
// a chunk shows that the request runs.
func (s *streamWriter) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(verdict.Header, verdict.Ran.String())
	s.w.WriteHeader(http.StatusOK)
}

// finish ends a complete stream.
func (s *streamWriter) finish() error { return s.writeAndFlush([]byte("data: [DONE]\n\n")) }

// writeError sends the failure as a whole response, or as the last events of a
// stream that has begun.
func (s *streamWriter) writeError(resp errorResponse) error {
	if !s.headerSent {
		return resp.write(s.w)
	}
	executed := resp.verdict
	if executed == verdict.NotRun {
		// The header has said that the request ran.
		executed = verdict.Ran
	}
	return s.writeAndFlush(fmt.Appendf(nil, "event: error\ndata: %s\n\nevent: hemlock-executed\ndata: {\"executed\":%q}\n\n", resp.body(), executed))
}

// callerWriteError is a failed write to the caller, who is gone or too slow.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string { return "write to the caller: " + e.err.Error() }

func (e *callerWriteError) Unwrap() error { return e.err }
