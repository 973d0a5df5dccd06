package chat

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// streamWriter forwards the chunks of a stream to the caller as server-sent
// events. It keeps no chunks: a slow caller blocks reading from the engine until
// the write timeout.
type streamWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	rewriter     *chunkRewriter
	writeTimeout time.Duration
	headerSent   bool
	unflushed    bool // written but not flushed
}

// reset does nothing: a request is retried only before the first write.
func (s *streamWriter) reset() {}

// started reports whether anything was sent to the caller.
func (s *streamWriter) started() bool { return s.headerSent }

// writeChunk writes one chunk without flushing it.
func (s *streamWriter) writeChunk(c engine.Chunk) error {
	event, err := s.rewriter.rewrite(c.Data())
	if err != nil || len(event) == 0 {
		return err
	}
	return s.writeEvent(event)
}

func (s *streamWriter) writeAndFlush(event []byte) error {
	if err := s.writeEvent(event); err != nil {
		return err
	}
	return s.flush()
}

// flush sends the buffered events. It is called when no more data from the
// engine is available, so that chunks that arrived together are sent together:
// one write to the connection per chunk is the largest cost of a stream.
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

// writeEvent writes an event. Its write deadline also covers the flush.
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

// writeHeader sends the header before the first event. The verdict is Ran, since
// a chunk proves that the request is running.
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

// finish sends the end marker of a complete stream.
func (s *streamWriter) finish() error { return s.writeAndFlush([]byte("data: [DONE]\n\n")) }

// writeError sends the error as a complete response, or as the last events of a
// stream that has started.
func (s *streamWriter) writeError(resp errorResponse) error {
	if !s.headerSent {
		return resp.write(s.w)
	}
	executed := resp.verdict
	if executed == verdict.NotRun {
		// The header already reported that the request ran.
		executed = verdict.Ran
	}
	return s.writeAndFlush(fmt.Appendf(nil, "event: error\ndata: %s\n\nevent: hemlock-executed\ndata: {\"executed\":%q}\n\n", resp.body(), executed))
}

// callerWriteError is a failed write to the caller, which has disconnected or is
// too slow.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string { return "write response to caller: " + e.err.Error() }

func (e *callerWriteError) Unwrap() error { return e.err }
