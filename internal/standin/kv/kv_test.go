package kv

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// quotedText matches text in single quotes in the scripts, which the test sends
// as base64.
var quotedText = regexp.MustCompile(`'([^']*)'`)

// constantHeaderFields matches the header fields that never change.
var constantHeaderFields = regexp.MustCompile(`"cluster_id":"1","member_id":"1",|,"raft_term":"2"`)

// headerRevision matches the store's revision in a line of a watch response.
var headerRevision = regexp.MustCompile(`"header":\{[^}]*"revision":"(\d+)"`)

// nextLine returns the next line of a watch whose revision is above after, or
// "closed". It skips the progress notifications of earlier revisions, any number
// of which may precede the fault that the script checks.
func nextLine(reader *bufio.Reader, after int) string {
	for {
		text, err := reader.ReadString('\n')
		if err != nil {
			return "closed\n"
		}
		m := headerRevision.FindStringSubmatch(text)
		if m == nil {
			return text
		}
		if n, err := strconv.Atoi(m[1]); err != nil || n > after {
			return text
		}
	}
}

// TestGateway guards against responses that differ from those of the real
// gateway: comparisons, revisions, leases, past and live events, and faults.
func TestGateway(t *testing.T) {
	server := httptest.NewServer(New(50 * time.Millisecond))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	watches := map[string]*bufio.Reader{}
	post := func(ctx context.Context, path, body string) (*http.Response, error) {
		body = quotedText.ReplaceAllStringFunc(body, func(s string) string {
			return `"` + base64.StdEncoding.EncodeToString([]byte(strings.Trim(s, "'"))) + `"`
		})
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		return http.DefaultClient.Do(r)
	}
	datadriven.RunTest(t, "testdata/gateway", func(t *testing.T, d *datadriven.TestData) string {
		var name string
		switch d.Cmd {
		case "post":
			d.ScanArgs(t, "path", &name)
			call, end := context.WithTimeout(ctx, 2*time.Second)
			defer end()
			response, err := post(call, name, d.Input)
			if err != nil {
				return "no response\n"
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			return fmt.Sprintf("%d %s", response.StatusCode, constantHeaderFields.ReplaceAll(body, nil))
		case "watch":
			d.ScanArgs(t, "name", &name)
			response, err := post(ctx, "/v3/watch", d.Input)
			if err != nil {
				return "no response\n"
			}
			watches[name] = bufio.NewReader(response.Body)
			return "open\n"
		case "next":
			d.ScanArgs(t, "name", &name)
			after := 0
			if d.HasArg("after") {
				d.ScanArgs(t, "after", &after)
			}
			line, reader := make(chan string, 1), watches[name]
			go func() { line <- nextLine(reader, after) }()
			select {
			case text := <-line:
				return constantHeaderFields.ReplaceAllString(text, "")
			case <-time.After(2 * time.Second):
				return "silent\n"
			}
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}
