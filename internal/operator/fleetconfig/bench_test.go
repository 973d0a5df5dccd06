package fleetconfig

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse parses a document with exceptions for 470 workspaces, a tenth of
// the 4,700 that the system is designed for.
func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	text.WriteString("[fleet]\nversion = 9200\n[defaults]\nload_floor = 8\n")
	for i := range 470 {
		fmt.Fprintf(&text, "[exception \"workspace:workspace-%d\"]\nreason = drafts most kits of its house\nauthor = operations\nweight = 4\n", i)
	}
	document := []byte(text.String())
	b.SetBytes(int64(len(document)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(document); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(document)), "B/document")
}
