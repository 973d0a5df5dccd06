package prefix

import (
	"slices"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestSources guards against copying what an engine has, from an engine that has
// less, or what nobody asked for lately.
func TestSources(t *testing.T) {
	const system, brief, one, two, three = Hash(1), Hash(2), EngineID(1), EngineID(2), EngineID(3)
	const lifetime = 10 * time.Second
	h := New(lifetime)
	now := clock.Instant(time.Hour)
	prefixes := []Hash{system, brief}
	for _, u := range []Location{{system, one}, {brief, one}, {system, two}} {
		if !h.Add(now, u) {
			t.Errorf("%v is not news", u)
		}
	}
	if h.Add(now.Add(time.Second), Location{system, one}) {
		t.Error("a use that was told a second ago is news")
	}
	for _, c := range []struct {
		parts  []Hash
		engine EngineID
		want   []EngineID
	}{
		{prefixes, one, nil},
		{prefixes, two, []EngineID{one}},
		{prefixes, three, []EngineID{one}},
		{[]Hash{system, 9}, three, []EngineID{two, one}},
		{[]Hash{system, 9}, two, nil},
		{[]Hash{8, 9}, one, nil},
	} {
		if got := h.Sources(now, c.parts, c.engine); !slices.Equal(got, c.want) {
			t.Errorf("sources of %v for %v: %v, want %v", c.parts, c.engine, got, c.want)
		}
	}
	if got := h.Sources(now.Add(lifetime+time.Second), prefixes, two); got != nil {
		t.Errorf("sources %v after the lifetime", got)
	}
	for i := range Hash(maxPrefixes + 100) {
		h.Add(now, Location{i, one})
	}
	if len(h.holders) > maxPrefixes {
		t.Errorf("%d parts are kept, want at most %d", len(h.holders), maxPrefixes)
	}
}
