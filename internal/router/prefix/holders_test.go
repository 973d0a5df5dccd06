package prefix

import (
	"slices"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestSources guards against copying a prefix that the engine already has,
// copying from an engine that has a shorter prefix, and copying from an engine
// whose entry has expired.
func TestSources(t *testing.T) {
	const system, brief, one, two, three = Hash(1), Hash(2), EngineID(1), EngineID(2), EngineID(3)
	const lifetime = 10 * time.Second
	h := New(lifetime)
	now := clock.Instant(time.Hour)
	prefixes := []Hash{system, brief}
	for _, u := range []Location{{system, one}, {brief, one}, {system, two}} {
		if !h.Add(now, u) {
			t.Errorf("%v is not to be reported", u)
		}
	}
	if h.Add(now.Add(time.Second), Location{system, one}) {
		t.Error("a use that was reported a second ago is to be reported again")
	}
	for _, c := range []struct {
		prefixes []Hash
		engine   EngineID
		want     []EngineID
	}{
		{prefixes, one, nil},
		{prefixes, two, []EngineID{one}},
		{prefixes, three, []EngineID{one}},
		{[]Hash{system, 9}, three, []EngineID{two, one}},
		{[]Hash{system, 9}, two, nil},
		{[]Hash{8, 9}, one, nil},
	} {
		if got := h.Sources(now, c.prefixes, c.engine); !slices.Equal(got, c.want) {
			t.Errorf("sources of %v for %v: %v, want %v", c.prefixes, c.engine, got, c.want)
		}
	}
	if got := h.Sources(now.Add(lifetime+time.Second), prefixes, two); got != nil {
		t.Errorf("sources %v after the TTL", got)
	}
	for i := range Hash(maxPrefixes + 100) {
		h.Add(now, Location{i, one})
	}
	if len(h.holders) > maxPrefixes {
		t.Errorf("%d prefixes are kept, want at most %d", len(h.holders), maxPrefixes)
	}
}
