package etcd

import (
	"context"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
)

// TestBrokenAnswers guards against a response that violates HTTP/1.1 or breaks off and is
// taken for the service's, and against losing a sound one.
func TestBrokenAnswers(t *testing.T) {
	faults, err := answers.Play(answers.NewContent("Content-Type: application/json\r\n", `{"header":{"revision":"7"},"count":"0"}`), false, func(address string, _ answers.Case) error {
		_, _, err := New([]string{"http://" + address}).List(context.Background(), "/")
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(faults) > 0 {
		t.Error(strings.Join(faults, "\n"))
	}
}
