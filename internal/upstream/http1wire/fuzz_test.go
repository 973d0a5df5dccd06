package http1wire

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
)

// FuzzReadResponse guards against bytes that crash the reader, against accepting a head
// that violates the grammar, and against a body that differs from what net/http reads of
// the same bytes.
func FuzzReadResponse(f *testing.F) {
	cases, err := answers.Cases()
	if err != nil {
		f.Fatal(err)
	}
	for _, c := range cases {
		f.Add(answers.NewContent("X-Known: a\r\n", "the body").Fill(c, ""))
	}
	// net/http accepts shorter trailer sections.
	const maxText = 4 << 10
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > maxText {
			return
		}
		response, err := ReadResponse(bufio.NewReader(strings.NewReader(text)), http.MethodGet, defaultMaxHead)
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		if response.StatusCode < 200 || response.StatusCode > 599 {
			t.Errorf("accepted status %d", response.StatusCode)
		}
		for name := range response.Header {
			if !isToken([]byte(name)) {
				t.Errorf("accepted field %q", name)
			}
		}
		knownReader := bufio.NewReader(strings.NewReader(text))
		known, knownErr := http.ReadResponse(knownReader, nil)
		for knownErr == nil && known.StatusCode < http.StatusOK {
			known, knownErr = http.ReadResponse(knownReader, nil)
		}
		if knownErr != nil {
			t.Fatalf("net/http rejects %q: %v", text, knownErr)
		}
		knownBody, knownErr := io.ReadAll(known.Body)
		if err == nil && (knownErr != nil || !bytes.Equal(body, knownBody)) {
			t.Errorf("%q: body %q, net/http has %q, %v", text, body, knownBody, knownErr)
		}
	})
}
