package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// blockedOutput blocks writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	return s.written.Write(b)
}

// TestWriter guards against log lines that block a request while the output is
// blocked, and against dropped lines that are not counted.
func TestWriter(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- w.Run(ctx) }()
	begin := time.Now()
	const lines = 5000
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write %d, %v", n, err)
		}
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %v while the output was blocked", lines, took)
	}
	close(out.release)
	cancel()
	<-runErr
	written := int64(strings.Count(out.written.String(), "line\n"))
	if written > linesPerSecond || written+w.Dropped() != lines {
		t.Errorf("%d lines written and %d counted as dropped, of %d", written, w.Dropped(), lines)
	}
}
