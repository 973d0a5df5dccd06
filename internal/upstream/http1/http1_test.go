package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/rawserver"
)

// roomFor is a Budget of a number of bytes.
type roomFor struct{ left, reserved int64 }

func (r *roomFor) Reserve(n int64) bool {
	if n > r.left {
		return false
	}
	r.left -= n
	r.reserved += n
	return true
}

// TestEventMemory guards against an event without end that takes memory that was not
// reserved, and against short events that need a reservation.
func TestEventMemory(t *testing.T) {
	for _, c := range []struct {
		size int
		room int64
		err  error
	}{
		{8000, 0, nil},
		{9000, 0, ErrNoRoom},
		{9000, 8 << 10, nil},
		{200_000, 64 << 10, ErrNoRoom},
		{200_000, 256 << 10, nil},
		{1 << 20, 1 << 20, errEventTooLong},
	} {
		room := &roomFor{left: c.room}
		events := NewEventReader(strings.NewReader("data: "+strings.Repeat("x", c.size)+"\n\n"), room)
		if _, err := events.Next(); !errors.Is(err, c.err) {
			t.Errorf("event of %d bytes, room for %d: %v, want %v", c.size, c.room, err, c.err)
		}
		if n := int64(cap(events.buffer)); n > freeEventBytes+room.reserved {
			t.Errorf("event of %d bytes, room for %d: buffer of %d bytes, %d reserved", c.size, c.room, n, room.reserved)
		}
	}
}

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
		events := NewEventReader(iotest.OneByteReader(strings.NewReader(c.stream)), new(roomFor))
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
		events := NewEventReader(strings.NewReader(stream), new(roomFor))
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
				Matches: func(int, http.Header, bool) bool { return true },
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

// TestResponseBeforeRequest guards against losing a complete response of an upstream that
// sends it and resets the connection before it has read anything.
func TestResponseBeforeRequest(t *testing.T) {
	reset := make(chan error, 1)
	server, err := rawserver.Listen(func(c net.Conn) {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
		// The response arrives before the reset.
		time.Sleep(20 * time.Millisecond)
		if tcp, ok := c.(*net.TCPConn); ok {
			err = errors.Join(err, tcp.SetLinger(0))
		}
		reset <- errors.Join(err, c.Close())
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	r, err := NewPool(server.Address()).Do(t.Context(), Request{
		Method: http.MethodGet, Target: "/", Host: "a",
		BeforeSend: func() (http.Header, error) {
			err := <-reset
			time.Sleep(20 * time.Millisecond)
			return http.Header{}, err
		},
		Matches: func(int, http.Header, bool) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if text, err := io.ReadAll(r); string(text) != "busy" || err != nil {
		t.Errorf("%q, %v", text, err)
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

// TestLateDuplicate guards against a second copy of a response, sent while the
// connection is idle or used again, that is taken for the response to the next
// request.
func TestLateDuplicate(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n"
	response := func(id string) string { return fmt.Sprintf(head, id, len(id)) + id }
	for _, c := range []struct {
		name string
		// serve answers request id; the response before was to request last.
		serve func(c net.Conn, id, last string)
	}{
		{"with the response", func(c net.Conn, id, _ string) { _, _ = io.WriteString(c, response(id)+response(id)) }},
		{"while idle", func(c net.Conn, id, _ string) {
			_, _ = io.WriteString(c, response(id))
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, response(id))
		}},
		{"before the next response", func(c net.Conn, id, last string) { _, _ = io.WriteString(c, response(last)+response(id)) }},
		{"in place of the next response", func(c net.Conn, _, last string) { _, _ = io.WriteString(c, response(last)) }},
		{"after the next header", func(c net.Conn, id, last string) {
			_, _ = fmt.Fprintf(c, head, id, len(id))
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, id+response(last))
		}},
		{"longer than the limit", func(c net.Conn, id, last string) {
			_, _ = io.WriteString(c, fmt.Sprintf(head, last, 2*maxUnmatchedBodyBytes)+strings.Repeat("x", maxUnmatchedBodyBytes)+fmt.Sprintf(head, id, 4)+"fake")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						reader, last := bufio.NewReader(conn), "none"
						for {
							r, err := http.ReadRequest(reader)
							if err != nil {
								return
							}
							id := r.Header.Get("Request-Id")
							c.serve(conn, id, last)
							last = id
						}
					}()
				}
			}()
			pool := NewPool(l.Addr().String())
			for i := range 10 {
				id := fmt.Sprint("request-", i)
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				r, err := pool.Do(ctx, Request{
					Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Request-Id": {id}}, MaxIdleAge: time.Minute,
					Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Request-Id") == id },
				})
				if err == nil {
					text, err := io.ReadAll(r)
					r.Close()
					if err == nil && string(text) != id {
						t.Errorf("%s got %q", id, text)
					}
				}
				cancel()
			}
		})
	}
}

// TestBeforeSend guards against sending a request that what allowed it does not
// allow any more once the connection is open, and against a header that was built
// before.
func TestBeforeSend(t *testing.T) {
	received := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r.Header.Get("X-Left") }))
	defer server.Close()
	pool := NewPool(server.Listener.Addr().String())
	request := Request{
		Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"X-Left": {"100"}},
		Matches: func(int, http.Header, bool) bool { return true },
	}
	reason := errors.New("withdrawn")
	request.BeforeSend = func() (http.Header, error) { return nil, reason }
	if _, err := pool.Do(context.Background(), request); !errors.Is(err, ErrNotSent) || !errors.Is(err, reason) || verdict.FromError(err) != verdict.NotRun {
		t.Errorf("withdrawn request: %v, verdict %v", err, verdict.FromError(err))
	}
	request.BeforeSend = func() (http.Header, error) { return http.Header{"X-Left": {"40"}}, nil }
	r, err := pool.Do(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	if got := <-received; got != "40" || len(received) != 0 {
		t.Errorf("received header %q, want 40 from one request", got)
	}
}

// TestReadRest guards against waiting for the rest of a body that does not end, and
// against using its connection again.
func TestReadRest(t *testing.T) {
	for _, c := range []struct {
		body   string
		length int
		reused bool
	}{{"rest", 4, true}, {"rest", 5, false}, {strings.Repeat("x", 200), 200, false}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(c.length))
			_, _ = io.WriteString(w, c.body)
			_ = http.NewResponseController(w).Flush()
			if len(c.body) < c.length {
				<-r.Context().Done()
			}
		}))
		pool := NewPool(server.Listener.Addr().String())
		r, err := pool.Do(context.Background(), Request{
			Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}, Matches: func(int, http.Header, bool) bool { return true },
		})
		if err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		r.ReadRest(100, 50*time.Millisecond)
		r.Close()
		if elapsed := time.Since(begin); elapsed > time.Second || (pool.getIdle(time.Minute) != nil) != c.reused {
			t.Errorf("%d of %d bytes: %v, want the connection reused: %t", len(c.body), c.length, elapsed, c.reused)
		}
		server.Close()
	}
}

// FuzzResponse guards against bytes that crash the reader of responses, and against
// a response to another request that is accepted.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 8\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nT: 1\r\n\r\nHTTP/1.1 503 Full\r\nRequest-Id: 7\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nKeep-Alive: timeout=99999999999999999999\r\nConnection: close\r\n\r\nrest")
	f.Fuzz(func(t *testing.T, text string) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = io.WriteString(server, text)
			}
		}()
		defer client.Close()
		r, err := newConn(client).roundTrip(Request{
			Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{},
			Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Request-Id") == "7" },
		})
		if err != nil {
			return
		}
		if r.Header().Get("Request-Id") != "7" || r.Status() < http.StatusOK {
			t.Errorf("accepted status %d, header %v", r.Status(), r.Header())
		}
		_, _ = io.Copy(io.Discard, r.body)
	})
}

// TestCheck guards against a check that leaves a connection open unused, or that takes
// an upstream without a listener for one that accepts connections.
func TestCheck(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	pool := NewPool(server.Listener.Addr().String())
	if err := pool.Check(t.Context()); err != nil {
		t.Fatal(err)
	}
	res, err := pool.Do(t.Context(), Request{
		Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}, MaxIdleAge: time.Minute,
		Matches: func(int, http.Header, bool) bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	res.Close()
	if n := pool.Dials(); n != 1 {
		t.Errorf("%d connections for a check and a request, want 1", n)
	}
	server.Close()
	if err := pool.Check(t.Context()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("without a listener: %v", err)
	}
}
