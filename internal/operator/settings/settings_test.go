package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse guards against invalid settings that are accepted, and against errors
// that report only the first of them.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		s, err := Parse("hemlockd.ini", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("id=%s store=%s request_time=%s secret=%d bytes\n",
			s.ID(), strings.Join(s.StoreURLs(), " "), s.RequestTimeout(), len(s.KeySecret()))
	})
}

// FuzzParse guards against settings files that make Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[daemon]\nid = a\nid = b\n"))
	f.Add([]byte("[limits]\nmax_body = -1\n[nothing]\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
