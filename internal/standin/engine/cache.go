package engine

import (
	"container/list"
	"time"
)

// maxCacheEvents bounds the cache events that are kept for clients.
const maxCacheEvents = 10_000

// cacheEvent is one line of the response of /v1/cache/events.
type cacheEvent struct {
	Seq        uint64 `json:"seq"`
	Chat       uint64 `json:"chat"`
	Op         string `json:"op"` // "add" or "drop"
	Tokens     int    `json:"tokens"`
	recordedAt time.Time
}

type cacheEntry struct {
	chatID   uint64
	prefixes []prefix
}

func (e *cacheEntry) tokens() int { return e.prefixes[len(e.prefixes)-1].tokens }

// cache is the prefix cache of an engine. It holds whole chats and evicts the
// least recently used first. Server.mu guards it.
type cache struct {
	maxTokens int
	tokens    int
	chats     map[uint64]*list.Element
	lru       *list.List // of *cacheEntry, most recently used first
	seq       uint64
	events    []cacheEvent
}

func newCache(maxTokens int) *cache {
	return &cache{maxTokens: maxTokens, chats: map[uint64]*list.Element{}, lru: list.New()}
}

// matchPrefix returns the number of tokens of the longest cached prefix of the
// chat and marks the chat as used.
func (c *cache) matchPrefix(chatID uint64, prefixes []prefix) int {
	element := c.chats[chatID]
	if element == nil {
		return 0
	}
	c.lru.MoveToFront(element)
	cached := 0
	for i, p := range element.Value.(*cacheEntry).prefixes {
		if i >= len(prefixes) || prefixes[i] != p {
			break
		}
		cached = p.tokens
	}
	return cached
}

// add caches the prefixes of a chat as the most recently used and evicts others
// above maxTokens. It ignores a chat that is larger than the cache.
func (c *cache) add(now time.Time, chatID uint64, prefixes []prefix) {
	e := &cacheEntry{chatID: chatID, prefixes: prefixes}
	if e.tokens() > c.maxTokens {
		return
	}
	if previous := c.chats[chatID]; previous != nil {
		c.tokens -= previous.Value.(*cacheEntry).tokens()
		c.lru.Remove(previous)
	}
	c.chats[chatID] = c.lru.PushFront(e)
	c.tokens += e.tokens()
	c.recordEvent(now, e, "add")
	for c.tokens > c.maxTokens {
		c.evict(now, c.lru.Back())
	}
}

func (c *cache) evict(now time.Time, element *list.Element) {
	e := c.lru.Remove(element).(*cacheEntry)
	delete(c.chats, e.chatID)
	c.tokens -= e.tokens()
	c.recordEvent(now, e, "drop")
}

// reset empties the cache without events, as a restart does.
func (c *cache) reset() {
	c.tokens = 0
	clear(c.chats)
	c.lru.Init()
}

func (c *cache) recordEvent(now time.Time, e *cacheEntry, op string) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Chat: e.chatID, Op: op, Tokens: e.tokens(), recordedAt: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsSince returns the events after a sequence number that are at least lag
// old. It omits multiples of dropEveryNth if that is positive.
func (c *cache) eventsSince(now time.Time, after uint64, lag time.Duration, dropEveryNth int) []cacheEvent {
	var events []cacheEvent
	for _, e := range c.events {
		if e.Seq <= after || now.Sub(e.recordedAt) < lag {
			continue
		}
		if dropEveryNth > 0 && e.Seq%uint64(dropEveryNth) == 0 {
			continue
		}
		events = append(events, e)
	}
	return events
}
