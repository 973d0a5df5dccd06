package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestParse guards against accepting requests that lack members an engine needs,
// and against changing a request on its way to the engine.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "same" {
			var prefixes []uint64
			for line := range strings.Lines(d.Input) {
				q, err := parseRequest([]byte(line))
				if err != nil {
					t.Fatal(err)
				}
				prefixes = append(prefixes, q.prefixHash)
			}
			return fmt.Sprint(prefixes[0] == prefixes[1])
		}
		q, err := parseRequest([]byte(d.Input))
		var requestErr *requestError
		if errors.As(err, &requestErr) {
			return requestErr.param + ": " + requestErr.message
		}
		return fmt.Sprintf("model=%s stream=%v usage=%v tokens=%d\n%s", q.model, q.stream, q.includeUsage, q.estimateTokens(), q.engineBody)
	})
}

// FuzzParse guards against crashes, against an engine body that differs from the
// caller's, and against chunks that differ in more than their identity members.
// The results are compared with encoding/json.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		var want, got map[string]any
		isObject := json.Unmarshal([]byte(text), &want) == nil && want != nil
		if q, err := parseRequest([]byte(text)); err == nil {
			if err := json.Unmarshal(q.engineBody, &got); err != nil || !isObject {
				t.Fatalf("%v: %s", err, q.engineBody)
			}
			want["stream"], want["stream_options"] = true, map[string]any{"include_usage": true}
			if !reflect.DeepEqual(want, got) || q.model != want["model"] {
				t.Errorf("engine gets %s", q.engineBody)
			}
			return
		}
		event, err := newChunkRewriter("i", "o", "m", time.Unix(5, 0)).rewrite([]byte(text))
		if (err == nil) != isObject {
			t.Fatalf("event %q, error %v", event, err)
		}
		if err != nil {
			return
		}
		if n := strings.Count(string(event), "\n"); n != 2 {
			t.Fatalf("%d line ends in %q", n, event)
		}
		if err := json.Unmarshal(event[len("data: "):], &got); err != nil {
			t.Fatalf("%v: %s", err, event)
		}
		want["id"], want["object"], want["model"], want["created"] = "i", "o", "m", float64(5)
		if !reflect.DeepEqual(want, got) {
			t.Errorf("caller gets %s", event)
		}
	})
}
