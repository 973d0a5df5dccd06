package hosts

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
)

// TestBrokenAnswers guards against a list that arrives in a response that violates
// HTTP/1.1 or breaks off, and against losing a sound one.
func TestBrokenAnswers(t *testing.T) {
	faults, err := answers.Play(answers.NewContent("Content-Type: application/json\r\n", validList), false, func(address string, _ answers.Case) error {
		return NewPoller("http://"+address, time.Hour, NewClient(requestTimeout)).Poll(context.Background())
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(faults) > 0 {
		t.Error(strings.Join(faults, "\n"))
	}
}
