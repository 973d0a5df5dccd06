package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestOpenStreams guards against a count that misses a stream in progress, includes
// requests that are refused or wait for their response, or keeps a stream that has
// ended.
func TestOpenStreams(t *testing.T) {
	arrivals, begin, end := make(chan int, 3), make(chan struct{}), make(chan struct{})
	for i := range cap(arrivals) {
		arrivals <- i
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch <-arrivals {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case 1:
			<-begin
		}
		_ = http.NewResponseController(w).Flush()
		<-end
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	options := Defaults()
	options.RouterAddresses, options.APIKeys = []string{address}, map[string]string{"w": "k"}
	options.MaxRequests, options.Workers, options.OpenStreams = 3, 3, NewOpenStreams()
	ended := make(chan error, 1)
	go func() {
		_, err := Run(context.Background(), options)
		ended <- err
	}()
	waitForCount := func(want string) {
		t.Helper()
		got := ""
		for deadline := time.Now().Add(10 * time.Second); got != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("streams in progress %s, want %s", got, want)
			}
			response := httptest.NewRecorder()
			options.OpenStreams.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/", nil))
			got = strings.TrimSpace(response.Body.String())
		}
	}
	waitForCount(`{"` + address + `":1}`)
	close(begin)
	waitForCount(`{"` + address + `":2}`)
	close(end)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	waitForCount(`{"` + address + `":0}`)
}
