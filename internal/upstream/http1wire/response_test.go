package http1wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
)

// TestReadResponse guards against accepting a response of the table that violates
// HTTP/1.1 or breaks off, and against rejecting a sound one, without a network.
func TestReadResponse(t *testing.T) {
	cases, err := answers.Cases()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		if !c.EndsInOrder() {
			continue
		}
		text, err := readBody(answers.NewContent("X-Known: a\r\n", "the body").Fill(c, ""))
		if whole := err == nil; whole != c.Whole() || whole && text != "the body" {
			t.Errorf("%s: %q, %v", c.Name(), text, err)
		}
	}
}

// readBody returns the body of a response.
func readBody(text string) (string, error) {
	response, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), http.MethodPost, defaultMaxHead)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestInformationalHeads guards against informational responses without end.
func TestInformationalHeads(t *testing.T) {
	const informational, final = "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"
	const fit = (defaultMaxHead - len(final)) / len(informational)
	for count, want := range map[int]error{0: nil, fit: nil, fit + 1: ErrHeadTooLong} {
		if _, err := readBody(strings.Repeat(informational, count) + final); !errors.Is(err, want) {
			t.Errorf("%d informational responses: %v, want %v", count, err, want)
		}
	}
}

// TestEndedInOrder guards against a reset or a timeout that a write has met and that
// passes for an orderly end, and against losing a response after whose end the server
// resets the connection.
func TestEndedInOrder(t *testing.T) {
	failed := func(err error) error {
		return fmt.Errorf("send: %w", &net.OpError{Op: "writev", Err: os.NewSyscallError("writev", err)})
	}
	for _, c := range []struct {
		writeErr error
		want     bool
	}{
		{nil, true},
		{os.ErrDeadlineExceeded, true},
		{failed(syscall.EPIPE), true},
		{failed(syscall.ECONNRESET), false},
		{failed(syscall.ETIMEDOUT), false},
		{failed(syscall.EHOSTUNREACH), false},
		{net.ErrClosed, false},
	} {
		if got := endedInOrder(c.writeErr); got != c.want {
			t.Errorf("%v: %t", c.writeErr, got)
		}
	}
}
