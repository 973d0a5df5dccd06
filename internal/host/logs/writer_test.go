package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	taken   bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.taken.Write(b)
}

// TestWriter guards against log lines that block a request while the output is
// stuck, and against lines that are left out without a count.
func TestWriter(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	begin := time.Now()
	const lines = 5000
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write %d, %v", n, err)
		}
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %v while the output was stuck", lines, took)
	}
	close(out.release)
	cancel()
	<-ended
	written := int64(strings.Count(out.taken.String(), "line\n"))
	if written > linesPerSecond || written+w.Lost() != lines {
		t.Errorf("%d lines written and %d counted as left out, of %d", written, w.Lost(), lines)
	}
}
