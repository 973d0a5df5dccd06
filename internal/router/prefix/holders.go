package prefix

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// refresh is the age after which a use is worth telling other routers again.
	refresh = 2 * time.Second
	// maxParts bounds the memory to about 10 MB.
	maxParts = 1 << 16
	// maxHolders is how many engines are remembered for a part.
	maxHolders = 4
)

// Part identifies a part of a prompt together with all parts before it.
type Part uint64

// Engine identifies one incarnation of an engine.
type Engine uint64

// EngineOf returns the identity of an incarnation, born in Unix milliseconds.
func EngineOf(id string, born int64) Engine {
	d := xxhash.New()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(id)
	for i := range 8 {
		_, _ = d.Write([]byte{byte(born >> (8 * i))})
	}
	return Engine(d.Sum64())
}

// PartOf returns the identity of a part; name includes the parts before it.
func PartOf(name string) Part { return Part(xxhash.Sum64String(name)) }

// Use is a use of a part at an engine.
type Use struct {
	Part   Part
	Engine Engine
}

// holder is an engine that has a part in memory.
type holder struct {
	engine Engine
	used   clock.Instant
}

// Holders is the memory of uses. It is safe for concurrent use.
type Holders struct {
	// lifetime is how long a part is expected to stay in an engine's memory after
	// its last known use.
	lifetime time.Duration

	mu    sync.Mutex
	parts map[Part][]holder // the most recent first
}

// New returns an empty memory of engines that keep a part for a lifetime after
// its last use.
func New(lifetime time.Duration) *Holders {
	return &Holders{lifetime: lifetime, parts: map[Part][]holder{}}
}

// Used notes a use, and reports whether it is news for other routers.
func (h *Holders) Used(now clock.Instant, u Use) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.parts[u.Part]
	i := slices.IndexFunc(list, func(o holder) bool { return o.engine == u.Engine })
	news := i < 0 || now.Sub(list[i].used) > refresh
	if i >= 0 && !news {
		return false
	}
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if list == nil && len(h.parts) >= maxParts {
		h.evict()
	}
	list = slices.Insert(list, 0, holder{u.Engine, now})
	h.parts[u.Part] = list[:min(len(list), maxHolders)]
	return true
}

// Source returns the engines that hold the longest run of parts which the given
// engine lacks, the most recent first, or none if it lacks nothing that
// another has. parts are in the order of the prompt.
func (h *Holders) Source(now clock.Instant, parts []Part, engine Engine) []Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range slices.Backward(parts) {
		var others []Engine
		for _, o := range h.parts[p] {
			if now.Sub(o.used) > h.lifetime {
				continue
			}
			if o.engine == engine {
				return nil
			}
			others = append(others, o.engine)
		}
		if len(others) > 0 {
			return others
		}
	}
	return nil
}

// evict makes room by dropping an arbitrary part.
func (h *Holders) evict() {
	for p := range h.parts {
		delete(h.parts, p)
		return
	}
}
