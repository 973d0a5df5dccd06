package httpserver

import (
	"net"
	"testing"
)

// TestCloseIfIdle guards against closing a connection after the HTTP server has
// read part of a request but net/http still reports the connection as idle, and
// against reading a request after the connection was closed.
func TestCloseIfIdle(t *testing.T) {
	caller, served := net.Pipe()
	defer caller.Close()
	c := &conn{Conn: served, idle: true}
	writeErr := make(chan error, 1)
	go func() {
		_, err := caller.Write([]byte("GET /"))
		writeErr <- err
	}()
	buffer := make([]byte, 16)
	if n, err := c.Read(buffer); n != 5 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if err := <-writeErr; err != nil {
		t.Fatal(err)
	}
	if c.closeIfIdle() {
		t.Error("closed a connection with a request in progress")
	}
	c.markIdle()
	if !c.closeIfIdle() {
		t.Error("did not close an idle connection")
	}
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Errorf("read %d bytes from a closed connection, error %v", n, err)
	}
}
