package rawserver

import (
	"fmt"
	"net"
	"sync"
)

// Server passes each connection to a function, and closes it when that returns.
type Server struct {
	listener net.Listener
	serve    func(c net.Conn)
	ended    sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Listen starts a server on a free port of 127.0.0.1. It must be closed.
func Listen(serve func(c net.Conn)) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: l, serve: serve, conns: map[net.Conn]bool{}}
	s.ended.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the IP:PORT of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

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
		open := s.conns != nil
		if open {
			s.conns[c] = true
			s.ended.Add(1)
		}
		s.mu.Unlock()
		if !open {
			_ = c.Close()
			return
		}
		go s.handle(c)
	}
}

func (s *Server) handle(c net.Conn) {
	defer s.ended.Done()
	s.serve(c)
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
