package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// TestEventReader guards against events whose bytes are changed, and against a
// truncated last event that is returned as complete.
func TestEventReader(t *testing.T) {
	for _, c := range []struct {
		stream string
		ids    string
		err    error
	}{
		{"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n", "1 2", io.EOF},
		{"data: no id\n\n", "", io.EOF},
		{"id: 1\n\nid: 2\ndata", "1", io.ErrUnexpectedEOF},
		{"id: 1\n\nid: 2\ndata: b\n", "1", io.ErrUnexpectedEOF},
		{"", "", io.EOF},
	} {
		events := NewEventReader(iotest.OneByteReader(strings.NewReader(c.stream)))
		var raw strings.Builder
		var ids []string
		for {
			e, err := events.Next()
			if err != nil {
				if !errors.Is(err, c.err) {
					t.Errorf("%q ended with %v, want %v", c.stream, err, c.err)
				}
				break
			}
			raw.Write(e.Raw())
			if e.ID() != "" {
				ids = append(ids, e.ID())
			}
		}
		if got := strings.Join(ids, " "); got != c.ids || !strings.HasPrefix(c.stream, raw.String()) {
			t.Errorf("%q: ids %q, bytes %q", c.stream, got, raw.String())
		}
	}
}

// FuzzEventReader guards against streams that crash the reader or lose bytes.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		events := NewEventReader(strings.NewReader(stream))
		var raw strings.Builder
		for {
			e, err := events.Next()
			if errors.Is(err, io.EOF) && raw.String() != stream {
				t.Errorf("%q became %q", stream, raw.String())
			}
			if err != nil {
				return
			}
			raw.Write(e.Raw())
		}
	})
}

// TestIdleConnection guards against sending on a connection that the upstream
// has closed, or that has unread bytes that belong to no request.
func TestIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	served := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			served <- c
		}
	}()
	pool := NewPool(l.Addr().String())
	do := func() (*Response, net.Conn) {
		type result struct {
			r   *Response
			err error
		}
		done := make(chan result, 1)
		go func() {
			r, err := pool.Do(context.Background(), Request{
				Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}, MaxIdleAge: time.Minute,
				Matches: func(int, http.Header) bool { return true },
			})
			done <- result{r, err}
		}()
		c := <-served
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		res := <-done
		if res.err != nil {
			t.Fatal(res.err)
		}
		_, _ = io.Copy(io.Discard, res.r)
		res.r.Close()
		return res.r, c
	}
	faults := []func(c net.Conn){
		func(c net.Conn) { _ = c.Close() },
		func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n") },
	}
	for i, injectFault := range faults {
		_, c := do()
		injectFault(c)
		time.Sleep(20 * time.Millisecond)
		if got := pool.getIdle(time.Minute); got != nil {
			t.Errorf("case %d: an unusable connection is reused", i)
		}
	}
	_, _ = do()
	if got := pool.getIdle(time.Minute); got == nil {
		t.Error("a usable connection is not reused")
	}
}

// TestMaxConns guards against more connections to an upstream than a router's
// share, which the upstream would reset.
func TestMaxConns(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pool := NewPool(l.Addr().String())
	var last *conn
	for range 2 {
		if last, err = pool.get(context.Background(), 2, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := pool.get(context.Background(), 2, time.Minute); verdict.FromError(err) != verdict.NotRun || err == nil {
		t.Errorf("a third connection: %v", err)
	}
	pool.discard(last)
	if _, err := pool.get(context.Background(), 2, time.Minute); err != nil {
		t.Errorf("after one was closed: %v", err)
	}
}

// TestDialError guards against a request that is reported as possibly executed
// although no connection was made.
func TestDialError(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = NewPool(address).Do(context.Background(), Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	if verdict.FromError(err) != verdict.NotRun {
		t.Errorf("%v has verdict %v", err, verdict.FromError(err))
	}
}
