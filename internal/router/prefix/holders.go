package prefix

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// reportInterval is the age after which a location is reported to peers
	// again.
	reportInterval = 2 * time.Second
	// maxPrefixes limits the index to about 10 MB.
	maxPrefixes = 1 << 16
	// maxHolders is the number of engines kept for each prefix.
	maxHolders = 4
)

// Hash identifies a prompt prefix: one part of a prompt with all parts before
// it.
type Hash uint64

// EngineID identifies one incarnation of an engine.
type EngineID uint64

// EngineIDOf returns the ID of an engine process; incarnation is its start time
// in Unix milliseconds.
func EngineIDOf(id string, incarnation int64) EngineID {
	d := xxhash.New()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(id)
	for i := range 8 {
		_, _ = d.Write([]byte{byte(incarnation >> (8 * i))})
	}
	return EngineID(d.Sum64())
}

// HashOf returns the hash of a prefix; name must include the parts before the
// last one.
func HashOf(name string) Hash { return Hash(xxhash.Sum64String(name)) }

// Location states that an engine has used a prefix and therefore has it cached.
type Location struct {
	Prefix Hash
	Engine EngineID
}

// holder is an engine that has a prefix cached.
type holder struct {
	engine   EngineID
	lastUsed clock.Instant
}

// Index maps prefixes to the engines that have them cached. It is safe for
// concurrent use.
type Index struct {
	// ttl is how long an engine is expected to keep a prefix cached after the
	// last known use.
	ttl time.Duration

	mu      sync.Mutex
	holders map[Hash][]holder // most recently used first
}

// New returns an empty index for engines that keep a prefix cached for ttl
// after its last use.
func New(ttl time.Duration) *Index {
	return &Index{ttl: ttl, holders: map[Hash][]holder{}}
}

// Add records the use of a prefix at an engine, and reports whether to report
// it to peers.
func (h *Index) Add(now clock.Instant, l Location) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	holders := h.holders[l.Prefix]
	i := slices.IndexFunc(holders, func(o holder) bool { return o.engine == l.Engine })
	needsReport := i < 0 || now.Sub(holders[i].lastUsed) > reportInterval
	if i >= 0 && !needsReport {
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

// Sources returns the engines that have the longest of the prefixes that is
// cached anywhere, the most recently used first. It returns none if the given
// engine is one of them, since it has nothing to copy then. prefixes must be in
// ascending length.
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

// evict drops an arbitrary prefix.
func (h *Index) evict() {
	for p := range h.holders {
		delete(h.holders, p)
		return
	}
}
