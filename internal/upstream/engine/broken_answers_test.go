package engine

import (
	"context"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// TestBrokenAnswers guards against a response that violates HTTP/1.1 or breaks off and is
// taken for the engine's, and against losing a sound one.
func TestBrokenAnswers(t *testing.T) {
	c := New(transport.New())
	stream := "id: 5:1\ndata: {\"choices\":[]}\n\nid: 5:2\ndata: [DONE]\n\n"
	faults, err := answers.Play(answers.NewContent("Content-Type: text/event-stream\r\n", stream), func(address string, played answers.Case) error {
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
	if len(faults) > 0 {
		t.Error(strings.Join(faults, "\n"))
	}
}
