package hosts

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParseList parses a list of the size that the system is designed for:
// 12,000 engines and 980 routers.
func BenchmarkParseList(b *testing.B) {
	var list strings.Builder
	for i := range 12_980 {
		kind, model := KindEngine, fmt.Sprintf("model-%d", i%9)
		if i >= 12_000 {
			kind, model = KindRouter, ""
		}
		fmt.Fprintf(&list, `,{"targets":["10.%d.%d.%d:9000"],"labels":{"failure_domain":"domain-%d","id":"%s-%d","kind":"%s","model":"%s","region":"region-%d","service":"drafter","state":"live"}}`,
			i>>16, i>>8&255, i&255, i%10, kind, i, kind, model, i%4)
	}
	text := []byte("[" + list.String()[1:] + "]")
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, faults, err := ParseList(text); err != nil || len(faults) > 0 {
			b.Fatal(faults, err)
		}
	}
	b.ReportMetric(float64(len(text)), "B/list")
}
