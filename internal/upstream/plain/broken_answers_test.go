package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// TestBrokenAnswers guards against a response that violates HTTP/1.1 or breaks off and is
// taken for the service's, and against losing a sound one, also if it comes while the
// call is being sent.
func TestBrokenAnswers(t *testing.T) {
	client := New(transport.New())
	// The kernel takes the second at once, but not the third.
	for upload, early := range map[int]bool{5: false, 100 << 10: true, 12 << 20: true} {
		t.Run(fmt.Sprint(upload), func(t *testing.T) {
			t.Parallel()
			body := make([]byte, upload)
			faults, err := answers.Play(answers.NewContent("", "the body"), early, func(address string, played answers.Case) error {
				text, err := read(client, Call{Address: address, Method: http.MethodPost, Path: "/", RequestID: "r", Body: body})
				if err == nil && played.Whole() && text != "the body" {
					err = fmt.Errorf("body %q", text)
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

func read(client *Client, call Call) (string, error) {
	response, err := client.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer response.Body().Close()
	text, err := io.ReadAll(response.Body())
	return string(text), err
}
