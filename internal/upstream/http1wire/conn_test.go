package http1wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/rawserver"
)

// longUploadBytes is more than the kernel takes of an upload that is not read.
const longUploadBytes = 12 << 20

// TestBrokenAnswers guards against a client of net/http that takes a response that
// violates HTTP/1.1 or breaks off for a response, or that loses a sound one.
func TestBrokenAnswers(t *testing.T) {
	transport := Strict(&http.Transport{})
	for _, c := range []struct {
		early        bool
		upload, body string
	}{
		{false, "short", "the body"},
		{false, "short", strings.Repeat("the body ", 50_000)},
		{true, strings.Repeat("0123456789abcdef", longUploadBytes/16), "the body"},
		{true, strings.Repeat("0123456789abcdef", longUploadBytes/16), strings.Repeat("the body ", 50_000)},
	} {
		t.Run(fmt.Sprintf("early=%t, %d bytes", c.early, len(c.body)), func(t *testing.T) {
			t.Parallel()
			faults, err := answers.Play(answers.NewContent("", c.body), c.early, func(address string, played answers.Case) error {
				status, text, err := post(transport, address, c.upload)
				if err == nil && played.Whole() && (status != http.StatusOK || text != c.body) {
					err = fmt.Errorf("status %d, %d bytes", status, len(text))
				}
				return err
			})
			if err != nil {
				t.Fatal(err)
			}
			if len(faults) > 0 {
				t.Error(strings.Join(faults, "\n"))
			}
		})
	}
}

func post(transport http.RoundTripper, address, body string) (status int, text string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// endlessBody is the body of a request that never ends.
type endlessBody struct {
	reads  atomic.Int64
	closed chan struct{}
}

func (b *endlessBody) Read(p []byte) (int, error) {
	b.reads.Add(1)
	return len(p), nil
}

func (b *endlessBody) Close() error {
	close(b.closed)
	return nil
}

// TestEndlessUpload guards against reading the body of a request on after its connection
// has failed, also while an early response is being read.
func TestEndlessUpload(t *testing.T) {
	server, err := answers.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for head, status := range map[string]int{"HTTP/1.1 200 OK\r\n": 0, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody": http.StatusOK, "HTTP/1.1 204 None\r\n\r\n": http.StatusNoContent} {
		server.Set(answers.NewCase(head, answers.Reset), answers.NewContent("", ""), true)
		body := &endlessBody{closed: make(chan struct{})}
		r, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/", body)
		if err != nil {
			t.Fatal(err)
		}
		transport := Strict(&http.Transport{})
		response, err := transport.RoundTrip(r)
		if (err == nil) != (status > 0) {
			t.Fatalf("%q: %v", head, err)
		}
		if err == nil {
			time.Sleep(100 * time.Millisecond) // the reset arrives
			before := body.reads.Load()
			time.Sleep(100 * time.Millisecond)
			if n := body.reads.Load() - before; n > 0 || response.StatusCode != status {
				t.Errorf("%q: status %d, body read %d times after the reset", head, response.StatusCode, n)
			}
			if err := response.Body.Close(); err != nil {
				t.Error(err)
			}
		}
		select {
		case <-body.closed:
		case <-time.After(5 * time.Second):
			t.Errorf("%q: the body is open 5 s after the end", head)
		}
	}
}

// TestReuse guards against losing track of where the next response begins, which would
// cost a connection for each request, over HTTP and HTTPS.
func TestReuse(t *testing.T) {
	var dials atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/none" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", "5000")
		if r.URL.Path == "/chunks" {
			w.Header().Del("Content-Length")
			w.Header().Set("Trailer", "X-Sum")
			w.WriteHeader(http.StatusEarlyHints)
		}
		for range 50 {
			_, _ = io.WriteString(w, strings.Repeat("x", 100))
			_ = http.NewResponseController(w).Flush()
		}
		w.Header().Set("X-Sum", "5000")
	})
	for name, start := range map[string]func(*httptest.Server){"http": (*httptest.Server).Start, "https": (*httptest.Server).StartTLS} {
		t.Run(name, func(t *testing.T) {
			dials.Store(0)
			server := httptest.NewUnstartedServer(handler)
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					dials.Add(1)
				}
			}
			start(server)
			defer server.Close()
			transport := &http.Transport{}
			if configured, ok := server.Client().Transport.(*http.Transport); ok {
				transport.TLSClientConfig = configured.TLSClientConfig
			}
			client := &http.Client{Transport: Strict(transport)}
			for range 3 {
				for _, path := range []string{"/length", "/chunks", "/none"} {
					for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
						want := 5000
						if path == "/none" || method == http.MethodHead {
							want = 0
						}
						if n, err := readAll(client, method, server.URL+path); err != nil || n != want {
							t.Errorf("%s %s: %d bytes, %v", method, path, n, err)
						}
					}
				}
			}
			if n := dials.Load(); n != 1 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

func readAll(client *http.Client, method, url string) (int, error) {
	r, err := http.NewRequest(method, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return len(text), err
}

// TestProxy guards against a proxy for https that cannot be used any more.
func TestProxy(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "the body")
	}))
	defer server.Close()
	proxy, err := rawserver.Listen(func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil || r.Method != http.MethodConnect {
			return
		}
		target, err := net.Dial("tcp4", r.Host)
		if err != nil {
			return
		}
		defer target.Close()
		if _, err := io.WriteString(c, "HTTP/1.1 200 Connection established\r\n\r\n"); err != nil {
			return
		}
		ended := make(chan error, 1)
		go func() {
			_, err := io.Copy(target, c)
			ended <- errors.Join(err, target.Close())
		}()
		_, _ = io.Copy(c, target)
		_ = c.Close()
		<-ended
	})
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	transport, ok := server.Client().Transport.(*http.Transport)
	if !ok {
		t.Fatal("the test server has another transport")
	}
	transport = transport.Clone()
	transport.Proxy = http.ProxyURL(&url.URL{Scheme: "http", Host: proxy.Address()})
	transport.DialContext = nil
	client := &http.Client{Transport: Strict(transport)}
	defer client.CloseIdleConnections()
	for range 2 {
		if n, err := readAll(client, http.MethodGet, server.URL); n != len("the body") || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
	}
}

// TestUnsolicited guards against bytes on an idle connection that are taken for the
// response to the next request.
func TestUnsolicited(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	c := newConn(client, defaultMaxHead)
	received := make(chan error, 1)
	go func() {
		_, err := http.ReadRequest(bufio.NewReader(server))
		if err == nil {
			_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1")
		}
		received <- err
	}()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 100)); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	if _, err := c.Read(make([]byte, 100)); !errors.Is(err, ErrUnsolicited) {
		t.Errorf("bytes on an idle connection: %v", err)
	}
	if err := <-received; err != nil {
		t.Error(err)
	}
}

// TestTrailerArrivesLater guards against holding back the end of a body until its trailer
// section arrives.
func TestTrailerArrivesLater(t *testing.T) {
	arrived := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	errNotArrived := errors.New("not arrived")
	r := bufio.NewReader(io.MultiReader(strings.NewReader(arrived), iotest.ErrReader(errNotArrived)))
	response, err := ReadResponse(r, http.MethodGet, defaultMaxHead)
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 10)
	if n, err := response.Body.Read(b); string(b[:n]) != "body" || err != nil {
		t.Errorf("read %q, %v", b[:n], err)
	}
	if _, err := response.Body.Read(b); !errors.Is(err, errNotArrived) {
		t.Errorf("after the body: %v", err)
	}
}

// TestLimits guards against heads and trailer sections without end.
func TestLimits(t *testing.T) {
	const limit = 1000
	long := strings.Repeat("X-Field: value\r\n", limit)
	if _, err := ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+long)), http.MethodGet, limit); !errors.Is(err, ErrHeadTooLong) {
		t.Errorf("head: %v", err)
	}
	response, err := ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"+long)), http.MethodGet, limit)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); !errors.Is(err, ErrHeadTooLong) {
		t.Errorf("trailer section: %v", err)
	}
}
