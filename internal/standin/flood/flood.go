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
	var lines []string
	for line := range strings.Lines(casesText) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	if len(lines)%linesPerCase != 0 {
		return nil, fmt.Errorf("%d lines, expected %d for each case", len(lines), linesPerCase)
	}
	var cases []Case
	for i := 0; i < len(lines); i += linesPerCase {
		start, err := strconv.Unquote(lines[i+1])
		if err != nil {
			return nil, fmt.Errorf("case %q: start: %w", lines[i], err)
		}
		repeated, err := strconv.Unquote(lines[i+2])
		if err != nil {
			return nil, fmt.Errorf("case %q: repeated bytes: %w", lines[i], err)
		}
		cases = append(cases, Case{lines[i], start, repeated})
	}
	return cases, nil
}

// Server responds to each request with the bytes of a case until the peer closes
// the connection.
type Server struct {
	listener net.Listener
	ended    sync.WaitGroup

	mu    sync.Mutex
	flood Case
	conns map[net.Conn]bool
}

// Listen starts a server on a free port of 127.0.0.1. It must be closed.
func Listen() (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: l, conns: map[net.Conn]bool{}}
	s.ended.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the IP:PORT of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetCase sets the case that the next connections get.
func (s *Server) SetCase(c Case) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flood = c
}

// Close closes all connections and returns once nothing is sent any more.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
	s.mu.Unlock()
	s.ended.Wait()
}

func (s *Server) accept() {
	defer s.ended.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		open, current := s.conns != nil, s.flood
		if open {
			s.conns[c] = true
			s.ended.Add(1)
		}
		s.mu.Unlock()
		if !open {
			_ = c.Close()
			return
		}
		go s.serve(c, current)
	}
}

func (s *Server) serve(c net.Conn, flood Case) {
	defer s.ended.Done()
	defer c.Close()
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
