package owner

import (
	"time"
	"unique"
)

const (
	// maxPlacementRows bounds the placement table of one home.
	maxPlacementRows = 16384
	// maxPlacementAge is the age at which a row is dropped; returning chats come back
	// within hours.
	maxPlacementAge = 6 * time.Hour
	// maxCacheEventDelay is how late a cache event may come; a row newer than that is
	// not corrected by the home's own event, which may be older than the row.
	maxCacheEventDelay = 5 * time.Second

	cacheOpAdd  = "add"
	cacheOpDrop = "drop"
	noRow       = -1
)

// placementRow is one chat that was last served away from its home, in a list from
// the newest to the oldest.
type placementRow struct {
	chat         uint64
	upstream     unique.Handle[string]
	setAt        uint32 // seconds since 1970
	newer, older int32
}

// placementTable is the bounded placement table of one home.
type placementTable struct {
	index          map[uint64]int32
	rows           []placementRow
	free           []int32
	newest, oldest int32
}

// lookup returns where a chat was placed.
func (c *placementTable) lookup(chat uint64) (string, bool) {
	i, ok := c.index[chat]
	if !ok {
		return "", false
	}
	return c.rows[i].upstream.Value(), true
}

// set notes that a chat was served by an upstream, empty for the home itself.
func (c *placementTable) set(now time.Time, chat uint64, upstream string) {
	c.remove(chat)
	if upstream == "" {
		return
	}
	if len(c.index) >= maxPlacementRows {
		c.remove(c.rows[c.oldest].chat)
	}
	c.insert(placementRow{chat: chat, upstream: unique.Make(upstream), setAt: uint32(now.Unix())})
}

// removePlacedAt removes the row of a chat if it points at the upstream.
func (c *placementTable) removePlacedAt(chat uint64, upstream string) {
	if placedAt, ok := c.lookup(chat); ok && placedAt == upstream {
		c.remove(chat)
	}
}

// removeReturned removes the row of a chat that the home holds again.
func (c *placementTable) removeReturned(now time.Time, chat uint64) {
	if i, ok := c.index[chat]; ok && c.age(now, i) > maxCacheEventDelay {
		c.remove(chat)
	}
}

func (c *placementTable) age(now time.Time, i int32) time.Duration {
	return time.Duration(now.Unix()-int64(c.rows[i].setAt)) * time.Second
}

// expire removes rows that are too old.
func (c *placementTable) expire(now time.Time) {
	for len(c.index) > 0 && c.age(now, c.oldest) > maxPlacementAge {
		c.remove(c.rows[c.oldest].chat)
	}
}

func (c *placementTable) insert(r placementRow) {
	if c.index == nil {
		c.index = make(map[uint64]int32)
	}
	if len(c.index) == 0 {
		c.newest, c.oldest = noRow, noRow
	}
	r.newer, r.older = noRow, c.newest
	i := c.allocateRow()
	c.rows[i] = r
	if c.newest != noRow {
		c.rows[c.newest].newer = i
	} else {
		c.oldest = i
	}
	c.newest = i
	c.index[r.chat] = i
}

// allocateRow returns the place of a new row.
func (c *placementTable) allocateRow() int32 {
	if n := len(c.free); n > 0 {
		i := c.free[n-1]
		c.free = c.free[:n-1]
		return i
	}
	c.rows = append(c.rows, placementRow{})
	return int32(len(c.rows) - 1)
}

func (c *placementTable) remove(chat uint64) {
	i, ok := c.index[chat]
	if !ok {
		return
	}
	delete(c.index, chat)
	r := c.rows[i]
	if r.newer != noRow {
		c.rows[r.newer].older = r.older
	} else {
		c.newest = r.older
	}
	if r.older != noRow {
		c.rows[r.older].newer = r.newer
	} else {
		c.oldest = r.newer
	}
	c.rows[i] = placementRow{}
	c.free = append(c.free, i)
}

// applyCacheEvents applies the upstream's own events to its table and returns
// those that were not seen before. Gaps are accepted: the table only loses a
// correction.
func (u *upstream) applyCacheEvents(now time.Time, events []CacheEvent) []CacheEvent {
	var unseen []CacheEvent
	for _, e := range events {
		if e.Seq <= u.lastCacheSeq {
			continue
		}
		u.lastCacheSeq = e.Seq
		unseen = append(unseen, e)
		if e.Op == cacheOpAdd {
			u.placements.removeReturned(now, e.Chat)
		}
	}
	return unseen
}
