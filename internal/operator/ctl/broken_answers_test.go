package ctl

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
)

// TestBrokenAnswers guards against a response that violates HTTP/1.1 or breaks off and is
// taken for a router's, and against losing a sound one.
func TestBrokenAnswers(t *testing.T) {
	client := newRouterClient()
	faults, err := answers.Play(answers.NewContent("Content-Type: application/json\r\n", `{"version":7}`), false, func(address string, _ answers.Case) error {
		_, err := client.send(context.Background(), router{address: address}, http.MethodPut, "/config", []byte("document"))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(faults) > 0 {
		t.Error(strings.Join(faults, "\n"))
	}
}
