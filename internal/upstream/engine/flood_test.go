package engine

import (
	"context"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/flood"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// TestFlood guards against an engine whose bytes without end take the memory of the
// host, keep a call beyond its time, or count as a complete stream.
func TestFlood(t *testing.T) {
	// maxFloodBytes is a quarter of the smallest hosts, which have 184 MB.
	const maxFloodBytes, timeout = 46 << 20, 150 * time.Millisecond
	server, err := flood.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	cases, err := flood.Cases()
	if err != nil {
		t.Fatal(err)
	}
	c := New(transport.New(), WithReadTimeout(timeout))
	for _, f := range cases {
		server.SetCase(f)
		begin := time.Now()
		peak := flood.PeakHeap(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			if _, err := c.Stream(ctx, Call{Address: server.Address(), RequestID: "r", Attempt: 5, Resumable: true}, func(Chunk) error { return nil }); err == nil {
				t.Errorf("%s: a stream without end is complete", f.Name())
			}
			reportCtx, cancelReport := context.WithTimeout(context.Background(), timeout)
			defer cancelReport()
			// Bytes after a complete report are ignored.
			_, _ = c.LoadReport(reportCtx, server.Address())
			eventsCtx, cancelEvents := context.WithTimeout(context.Background(), timeout)
			defer cancelEvents()
			_, _ = c.CacheEvents(eventsCtx, server.Address(), 0)
		})
		if elapsed := time.Since(begin); peak > maxFloodBytes || elapsed > 3*timeout+time.Second {
			t.Errorf("%s: %d MB in %v", f.Name(), peak>>20, elapsed)
		}
	}
}
