package flood

import (
	"bufio"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/rawserver"
)

const (
	// writeBytes is the size of one write of a flooding peer.
	writeBytes = 64 << 10
	// sampleInterval is the time between two samples of the heap.
	sampleInterval = 2 * time.Millisecond
	// linesPerCase is the number of lines of a case in cases.txt.
	linesPerCase = 3
)

//go:embed cases.txt
var casesText string

// Case is one kind of bytes without end.
type Case struct{ name, start, repeated string }

// Name returns the name of the case.
func (c Case) Name() string { return c.name }

// Cases returns the cases of cases.txt.
func Cases() ([]Case, error) {
	table, err := rawserver.ReadTable(casesText, linesPerCase)
	if err != nil {
		return nil, err
	}
	var cases []Case
	for _, lines := range table {
		start, err := strconv.Unquote(lines[1])
		if err != nil {
			return nil, fmt.Errorf("case %q: start: %w", lines[0], err)
		}
		repeated, err := strconv.Unquote(lines[2])
		if err != nil {
			return nil, fmt.Errorf("case %q: repeated bytes: %w", lines[0], err)
		}
		cases = append(cases, Case{lines[0], start, repeated})
	}
	return cases, nil
}

// Server responds to each request with the bytes of a case until the peer closes
// the connection.
type Server struct {
	*rawserver.Server
	mu    sync.Mutex
	flood Case
}

// Listen starts a server on a free port of 127.0.0.1. It must be closed.
func Listen() (*Server, error) {
	s := &Server{}
	var err error
	s.Server, err = rawserver.Listen(s.serve)
	return s, err
}

// SetCase sets the case that the next connections get.
func (s *Server) SetCase(c Case) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flood = c
}

func (s *Server) serve(c net.Conn) {
	s.mu.Lock()
	flood := s.flood
	s.mu.Unlock()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	ids := strings.NewReplacer("{id}", r.Header.Get("Request-Id"))
	if _, err := c.Write([]byte(ids.Replace(flood.start))); err != nil {
		return
	}
	repeated := ids.Replace(flood.repeated)
	block := []byte(strings.Repeat(repeated, 1+writeBytes/len(repeated)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// PeakHeap returns by how many bytes the heap grew at most while run ran. Garbage
// that the collector has not freed yet counts, as it does for a host's memory.
func PeakHeap(run func()) int64 {
	runtime.GC()
	start := heapBytes()
	stop, peak := make(chan struct{}), make(chan int64)
	go func() {
		highest := start
		for {
			select {
			case <-stop:
				peak <- max(highest, heapBytes())
				return
			case <-time.After(sampleInterval):
				highest = max(highest, heapBytes())
			}
		}
	}()
	run()
	close(stop)
	return <-peak - start
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
