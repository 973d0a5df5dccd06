package front

import (
	"net"
	"testing"
)

// TestRetire guards against closing a connection whose request was handed to
// the HTTP server while net/http still calls the connection idle, and against
// handing on a request that arrives after the decision to close.
func TestRetire(t *testing.T) {
	caller, served := net.Pipe()
	defer caller.Close()
	c := &conn{Conn: served, idle: true}
	written := make(chan error, 1)
	go func() {
		_, err := caller.Write([]byte("GET /"))
		written <- err
	}()
	buffer := make([]byte, 16)
	if n, err := c.Read(buffer); n != 5 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	if c.retire() {
		t.Error("a connection with a request in progress was closed")
	}
	c.setIdle()
	if !c.retire() {
		t.Error("an idle connection was not closed")
	}
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Errorf("a closed connection handed on %d bytes, %v", n, err)
	}
}
