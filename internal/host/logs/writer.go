package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// linesPerSecond limits the volume; a line has about 300 bytes.
	linesPerSecond = 400
	// backlog is the number of lines that can be queued for the output.
	backlog = 1024
)

// Writer is an io.Writer that queues lines for a goroutine.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	remaining atomic.Int64
	dropped   atomic.Int64
}

// NewWriter returns a writer to out. Lines are only written while Run is running.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, backlog)}
	w.remaining.Store(linesPerSecond)
	return w
}

// Write queues one line or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.remaining.Add(-1) < 0 {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx is done, and then the rest of the queue.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-w.lines:
			if _, err := w.out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ticker.C:
			w.remaining.Store(linesPerSecond)
			if dropped := w.dropped.Load(); dropped > reported {
				// If the write fails, the lines are reported with the next ones.
				if _, err := fmt.Fprintf(w.out, "level=warning msg=\"log lines dropped\" count=%d\n", dropped-reported); err == nil {
					reported = dropped
				}
			}
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			if _, err := w.out.Write(line); err != nil {
				w.dropped.Add(1 + int64(len(w.lines)))
				return
			}
		default:
			return
		}
	}
}

// NewLogger returns a logger of key=value lines that writes to w.
func NewLogger(w io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	return l
}
