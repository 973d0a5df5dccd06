package logs

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
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

// failingOutput fails the first writes and keeps the text of the later ones.
type failingOutput struct {
	mu       sync.Mutex
	failures int
	written  bytes.Buffer
}

func (o *failingOutput) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures > 0 {
		o.failures--
		return 0, errors.New("no space")
	}
	return o.written.Write(b)
}

func (o *failingOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

// TestFailedWrites guards against lines that are lost without being reported
// because the output failed, also where it failed for the report.
func TestFailedWrites(t *testing.T) {
	// The lines and the first report fail.
	out := &failingOutput{failures: 4}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- w.Run(ctx) }()
	for range 3 {
		_, _ = w.Write([]byte("line\n"))
	}
	for begin := time.Now(); !strings.Contains(out.text(), "dropped\" count=3") && time.Since(begin) < 5*time.Second; {
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	<-runErr
	if text := out.text(); !strings.Contains(text, "dropped\" count=3") || w.Dropped() != 3 {
		t.Errorf("%d lines dropped, reported as %q", w.Dropped(), text)
	}
}
