package peer

import (
	"bytes"
	"context"
	"expvar"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestFacts guards against facts that do not arrive as they were sent, against a
// message of any size, and against an older router that does not know them.
func TestFacts(t *testing.T) {
	received := make(chan []byte, 1)
	address := serveCalls(t, Server("", exchangeServer{}, new(expvar.Map).Init(), func(message []byte) { received <- message }))
	client := New("", nil, new(expvar.Map).Init(), func() bool { return false })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := client.SendFacts(ctx, address, []byte("facts")); err != nil {
		t.Fatal(err)
	}
	if message := <-received; string(message) != "facts" {
		t.Errorf("received %q", message)
	}
	if err := client.SendFacts(ctx, address, bytes.Repeat([]byte("x"), maxFactsBytes+1)); err == nil {
		t.Error("a message above the limit was accepted")
	}
	older := serveCalls(t, &http.Server{Handler: http.NotFoundHandler(), Protocols: serverProtocols()})
	if err := client.SendFacts(ctx, older, []byte("facts")); err == nil {
		t.Error("a router without facts accepted them")
	}
	select {
	case message := <-received:
		t.Errorf("received %d more bytes", len(message))
	default:
	}
}

// serveCalls serves on a free address until the end of the test.
func serveCalls(t *testing.T, s *http.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	return l.Addr().String()
}
