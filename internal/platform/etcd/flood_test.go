package etcd

import (
	"context"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/flood"
)

// TestFlood guards against a key-value service whose bytes without end take the
// memory of the host, or keep a call or a watch beyond its timeout.
func TestFlood(t *testing.T) {
	// maxFloodBytes is a quarter of the smallest hosts, which have 184 MB.
	const maxFloodBytes, timeout = 46 << 20, 100 * time.Millisecond
	server, err := flood.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	cases, err := flood.Cases()
	if err != nil {
		t.Fatal(err)
	}
	c := New([]string{"http://" + server.Address()}, WithTimeout(timeout), WithWatchTimeout(timeout))
	for _, f := range cases {
		server.SetCase(f)
		begin := time.Now()
		peak := flood.PeakHeap(func() {
			if _, _, err := c.List(context.Background(), "/"); err == nil {
				t.Errorf("%s: a list without end was read", f.Name())
			}
			if err := c.Watch(context.Background(), "/", 1, func(Event) {}); err == nil {
				t.Errorf("%s: a watch without end ended without an error", f.Name())
			}
		})
		if elapsed := time.Since(begin); peak > maxFloodBytes || elapsed > 2*timeout+time.Second {
			t.Errorf("%s: %d MB in %v", f.Name(), peak>>20, elapsed)
		}
	}
}
