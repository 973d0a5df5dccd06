package edge

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSettings plays the script in testdata. It guards against settings that
// are wrong or missing and taken for zeros, and against errors that name only
// the first fault.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, td *datadriven.TestData) string {
		path := filepath.Join(t.TempDir(), "settings.ini")
		if err := os.WriteFile(path, []byte(td.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := LoadSettings(path)
		if err != nil {
			return strings.ReplaceAll(err.Error(), path, "FILE") + "\n"
		}
		return fmt.Sprintf("%+v\n", *s)
	})
}
