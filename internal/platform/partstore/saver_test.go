package partstore

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
)

// fakeFleet is a store and a fleet of which self is one router.
type fakeFleet struct {
	self string
	all  []string

	mu       sync.Mutex
	fails    int
	document []byte
	writes   int
}

func (f *fakeFleet) QuarantineRouters() (string, []string) { return f.self, f.all }

func (f *fakeFleet) QuarantineSaved(int, error) {}

func (f *fakeFleet) SaveQuarantine(_ context.Context, document []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.writes <= f.fails {
		return errors.New("store unavailable")
	}
	f.document = document
	return nil
}

func (f *fakeFleet) state() (writes int, document []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes, f.document
}

// runSaver runs a saver with one quarantined part until the end of the test.
func runSaver(t *testing.T, f *fakeFleet) *Saver {
	q := quarantine.New()
	q.Merge(clock.Now(), []quarantine.Fact{{Kind: "quarantine", Parts: []quarantine.Part{"model/x"}, Crashes: 3, LeftMS: 60_000}})
	s := New(q, f, f)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	s.Changed()
	return s
}

// TestSaver guards against sets that are not saved because the store failed, against a
// call for each change, and against calls of every router.
func TestSaver(t *testing.T) {
	t.Parallel()
	writer := &fakeFleet{self: "a", all: []string{"a"}, fails: 1}
	s := runSaver(t, writer)
	waitUntil(t, func() bool { _, d := writer.state(); return d != nil })
	s.Changed()
	time.Sleep(2 * saveDelay)
	if n, _ := writer.state(); n != 2 {
		t.Errorf("%d calls, want 2: one that failed and one", n)
	}
	_, document := writer.state()
	q := quarantine.New()
	if err := New(q, writer, writer).Load(document); err != nil || len(q.Entries()) != 1 {
		t.Errorf("loaded %v, %v", q.Entries(), err)
	}
	routers := []string{"a", "b", "c", "d", "e", "f"}
	saving := 0
	var fleets []*fakeFleet
	for _, name := range routers {
		f := &fakeFleet{self: name, all: routers}
		fleets = append(fleets, f)
		runSaver(t, f)
	}
	time.Sleep(3 * saveDelay)
	for _, f := range fleets {
		n, _ := f.state()
		saving += n
	}
	if saving != writers {
		t.Errorf("%d of %d routers saved, want %d", saving, len(routers), writers)
	}
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 10 s")
}
