package prefix

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// reportInterval is the age after which a use is worth telling other routers again.
	reportInterval = 2 * time.Second
	// maxPrefixes bounds the memory to about 10 MB.
	maxPrefixes = 1 << 16
	// maxHolders is how many engines are remembered for a part.
	maxHolders = 4
)

// Hash identifies a part of a prompt together with all parts before it.
type Hash uint64

// EngineID identifies one incarnation of an engine.
type EngineID uint64

// EngineIDOf returns the identity of an incarnation, born in Unix milliseconds.
func EngineIDOf(id string, incarnation int64) EngineID {
	d := xxhash.New()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(id)
	for i := range 8 {
		_, _ = d.Write([]byte{byte(incarnation >> (8 * i))})
	}
	return EngineID(d.Sum64())
}

// HashOf returns the identity of a part; name includes the parts before it.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Location is a use of a part at an engine.
type Location struct {
	Prefix Hash
	Engine EngineID
}

// holder is an engine that has a part in memory.
type holder struct {
	engine   EngineID
	lastUsed clock.Instant
}

// Index is the memory of uses. It is safe for concurrent use.
type Index struct {
	// ttl is how long a part is expected to stay in an engine's memory after
	// its last known use.
	ttl time.Duration

	mu      sync.Mutex
	holders map[Hash][]holder // the most recent first
}

// New returns an empty memory of engines that keep a part for a lifetime after
// its last use.
func New(ttl time.Duration) *Index {
	return &Index{ttl: ttl, holders: map[Hash][]holder{}}
}

// Add notes a use, and reports whether it is news for other routers.
func (h *Index) Add(now clock.Instant, l Location) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	holders := h.holders[l.Prefix]
	i := slices.IndexFunc(holders, func(o holder) bool { return o.engine == l.Engine })
	isNews := i < 0 || now.Sub(holders[i].lastUsed) > reportInterval
	if i >= 0 && !isNews {
		return false
	}
	if i >= 0 {
		holders = slices.Delete(holders, i, i+1)
	}
	if holders == nil && len(h.holders) >= maxPrefixes {
		h.evict()
	}
	holders = slices.Insert(holders, 0, holder{l.Engine, now})
	h.holders[l.Prefix] = holders[:min(len(holders), maxHolders)]
	return true
}

// Sources returns the engines that hold the longest run of parts which the given
// engine lacks, the most recent first, or none if it lacks nothing that
// another has. parts are in the order of the prompt.
func (h *Index) Sources(now clock.Instant, prefixes []Hash, engine EngineID) []EngineID {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range slices.Backward(prefixes) {
		var sources []EngineID
		for _, o := range h.holders[p] {
			if now.Sub(o.lastUsed) > h.ttl {
				continue
			}
			if o.engine == engine {
				return nil
			}
			sources = append(sources, o.engine)
		}
		if len(sources) > 0 {
			return sources
		}
	}
	return nil
}

// evict makes room by dropping an arbitrary part.
func (h *Index) evict() {
	for p := range h.holders {
		delete(h.holders, p)
		return
	}
}
