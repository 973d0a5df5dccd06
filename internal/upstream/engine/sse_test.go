package engine

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/datadriven"
)

// parseAll returns the events of a stream, one a line, and the final error unless
// it is io.EOF.
func parseAll(r io.Reader, limit int) string {
	var out strings.Builder
	p := NewParser(r, limit)
	for {
		e, err := p.Next()
		if errors.Is(err, io.EOF) {
			return out.String()
		}
		if err != nil {
			return out.String() + err.Error()
		}
		fmt.Fprintf(&out, "id=%q name=%q data=%q\n", e.ID(), e.Name(), e.Data())
	}
}

// TestParser guards against events that are lost, merged, truncated or of
// unbounded size.
func TestParser(t *testing.T) {
	datadriven.RunTest(t, "testdata/parser", func(t *testing.T, d *datadriven.TestData) string {
		limit := 1 << 10
		d.MaybeScanArgs(t, "limit", &limit)
		text := d.Input + "\n\n"
		if d.Cmd == "quoted" {
			var err error
			if text, err = strconv.Unquote(strings.TrimSpace(d.Input)); err != nil {
				t.Fatal(err)
			}
		}
		return parseAll(strings.NewReader(text), limit)
	})
}

// FuzzParser guards against results that depend on how the bytes are split into
// reads, against events above the size limit, and against crashes.
func FuzzParser(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		const limit = 64
		whole := parseAll(strings.NewReader(text), limit)
		if single := parseAll(iotest.OneByteReader(strings.NewReader(text)), limit); single != whole {
			t.Errorf("single bytes: %s\nwhole: %s", single, whole)
		}
		p := NewParser(strings.NewReader(text), limit)
		for {
			e, err := p.Next()
			if err != nil {
				break
			}
			if len(e.Data()) > limit || len(p.buffer) > initialBufferBytes {
				t.Fatalf("event of %d bytes, buffer of %d", len(e.Data()), len(p.buffer))
			}
		}
	})
}
