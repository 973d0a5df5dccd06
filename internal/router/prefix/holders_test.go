package prefix

import (
	"slices"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestSource guards against copying what an engine has, from an engine that has
// less, or what nobody asked for lately.
func TestSource(t *testing.T) {
	const system, brief, one, two, three = Part(1), Part(2), Engine(1), Engine(2), Engine(3)
	const lifetime = 10 * time.Second
	h := New(lifetime)
	now := clock.Instant(time.Hour)
	parts := []Part{system, brief}
	for _, u := range []Use{{system, one}, {brief, one}, {system, two}} {
		if !h.Used(now, u) {
			t.Errorf("%v is not news", u)
		}
	}
	if h.Used(now.Add(time.Second), Use{system, one}) {
		t.Error("a use that was told a second ago is news")
	}
	for _, c := range []struct {
		parts  []Part
		engine Engine
		want   []Engine
	}{
		{parts, one, nil},
		{parts, two, []Engine{one}},
		{parts, three, []Engine{one}},
		{[]Part{system, 9}, three, []Engine{two, one}},
		{[]Part{system, 9}, two, nil},
		{[]Part{8, 9}, one, nil},
	} {
		if got := h.Source(now, c.parts, c.engine); !slices.Equal(got, c.want) {
			t.Errorf("sources of %v for %v: %v, want %v", c.parts, c.engine, got, c.want)
		}
	}
	if got := h.Source(now.Add(lifetime+time.Second), parts, two); got != nil {
		t.Errorf("sources %v after the lifetime", got)
	}
	for i := range Part(maxParts + 100) {
		h.Used(now, Use{i, one})
	}
	if len(h.parts) > maxParts {
		t.Errorf("%d parts are kept, want at most %d", len(h.parts), maxParts)
	}
}
