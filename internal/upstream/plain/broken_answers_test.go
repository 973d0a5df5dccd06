package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// TestBrokenAnswers guards against a response that violates HTTP/1.1 or breaks off and is
// taken for the service's, and against losing a sound one, also if it comes while the
// call is being sent.
func TestBrokenAnswers(t *testing.T) {
	cases, err := answers.Cases()
	if err != nil {
		t.Fatal(err)
	}
	server, err := answers.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := New(transport.New())
	const longUploadBytes = 12 << 20
	for _, c := range cases {
		for _, upload := range []int{5, 100 << 10, longUploadBytes} {
			t.Run(fmt.Sprintf("%s/upload=%d", c.Name(), upload), func(t *testing.T) {
				server.Set(c, answers.NewContent("", "the body"), upload > 5)
				text, err := read(client, Call{Address: server.Address(), Method: http.MethodPost, Path: "/", RequestID: "r", Body: make([]byte, upload)})
				if whole := err == nil; whole != c.Whole() || whole && text != "the body" {
					t.Errorf("%q, %v", text, err)
				}
			})
		}
	}
}

func read(client *Client, call Call) (string, error) {
	response, err := client.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer response.Body().Close()
	text, err := io.ReadAll(response.Body())
	return string(text), err
}
