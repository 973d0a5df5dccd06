package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of one play: what was sent, answered and run. Times are
// milliseconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// at returns a time as milliseconds since the start.
func (r *record) at(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%10.1f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// say also prints the line for whoever runs the case.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { _ = r.file.Close() }
