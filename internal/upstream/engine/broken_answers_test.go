package engine

import (
	"context"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// TestBrokenAnswers guards against a response that violates HTTP/1.1 or breaks off and is
// taken for the engine's, and against losing a sound one.
func TestBrokenAnswers(t *testing.T) {
	c := New(transport.New())
	faults, err := answers.Play(answers.NewContent("Content-Type: application/json\r\n", `{"boot_id":"b","state":"warm"}`), false, func(address string, _ answers.Case) error {
		_, err := c.LoadReport(context.Background(), address)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	stream := "id: 5:1\ndata: {\"choices\":[]}\n\nid: 5:2\ndata: [DONE]\n\n"
	streamFaults, err := answers.Play(answers.NewContent("Content-Type: text/event-stream\r\n", stream), false, func(address string, played answers.Case) error {
		_, err := c.Stream(context.Background(), Call{Address: address, RequestID: "r", Attempt: 5}, func(Chunk) error { return nil })
		if played.BodyArrives() && !played.Whole() && err == nil {
			// [DONE] ends a stream, whatever follows it.
			err = ErrTruncated
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if all := append(faults, streamFaults...); len(all) > 0 {
		t.Error(strings.Join(all, "\n"))
	}
}

// TestBrokenRejection guards against taking an error response that breaks off for the
// rejection of an invalid request, which no other engine would get, and against losing a
// statement that a request did not run.
func TestBrokenRejection(t *testing.T) {
	server, err := answers.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for _, c := range []struct {
		name, head string
		rejected   bool
		verdict    verdict.Verdict
	}{
		{"broken", "HTTP/1.1 400 Bad\r\n{fields}Content-Length: 5\r\n\r\n", false, verdict.Unknown},
		{"whole", "HTTP/1.1 400 Bad\r\n{fields}Content-Length: 3\r\n\r\n", true, verdict.Unknown},
		{"broken, not run", "HTTP/1.1 503 Busy\r\n{fields}" + verdict.Header + ": no\r\nContent-Length: 5\r\n\r\n", false, verdict.NotRun},
	} {
		server.Set(answers.NewCase(c.head+"{body}", answers.Shutdown), answers.NewContent("Connection: close\r\nRequest-Id: {id}\r\n", "bad"), false)
		_, err := New(transport.New()).Stream(context.Background(), Call{Address: server.Address(), RequestID: "r", Attempt: 5}, func(Chunk) error { return nil })
		if err == nil || IsRequestError(err) != c.rejected || verdict.FromError(err) != c.verdict {
			t.Errorf("%s: verdict %v, %v", c.name, verdict.FromError(err), err)
		}
	}
}
