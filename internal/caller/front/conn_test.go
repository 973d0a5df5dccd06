package front

import (
	"net"
	"testing"
)

// TestCloseIfIdle guards against closing a connection whose request was handed to
// the HTTP server while net/http still calls the connection idle, and against
// handing on a request that arrives after the decision to close.
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
		t.Error("a connection with a request in progress was closed")
	}
	c.markIdle()
	if !c.closeIfIdle() {
		t.Error("an idle connection was not closed")
	}
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Errorf("a closed connection handed on %d bytes, %v", n, err)
	}
}
