package owner

import (
	"time"
	"unique"
)

const (
	// maxPlacementRows is the capacity of the placement table of one home.
	maxPlacementRows = 16384
	// maxPlacementAge is the age at which a row expires; the next request of a
	// chat arrives within hours.
	maxPlacementAge = 6 * time.Hour
	// maxCacheEventDelay is the longest delay of a cache event. The home's own
	// events do not remove newer rows, since the event may be older than the
	// row.
	maxCacheEventDelay = 5 * time.Second

	cacheOpAdd  = "add"
	cacheOpDrop = "drop"
	noRow       = -1
)

// placementRow is a chat that was last served away from its home. Rows are
// linked from the newest to the oldest.
type placementRow struct {
	chat         uint64
	upstream     unique.Handle[string]
	setAt        uint32 // Unix time in seconds
	newer, older int32
}

// placementTable is the bounded placement table of one home, with eviction of
// the oldest row.
type placementTable struct {
	index          map[uint64]int32
	rows           []placementRow
	free           []int32
	newest, oldest int32
}

// lookup returns the upstream that last served a chat.
func (t *placementTable) lookup(chat uint64) (string, bool) {
	i, ok := t.index[chat]
	if !ok {
		return "", false
	}
	return t.rows[i].upstream.Value(), true
}

// set records that an upstream served a chat; "" means the home itself.
func (t *placementTable) set(now time.Time, chat uint64, upstream string) {
	t.remove(chat)
	if upstream == "" {
		return
	}
	if len(t.index) >= maxPlacementRows {
		t.remove(t.rows[t.oldest].chat)
	}
	t.insert(placementRow{chat: chat, upstream: unique.Make(upstream), setAt: uint32(now.Unix())})
}

// removePlacedAt removes the row of a chat if it refers to the upstream.
func (t *placementTable) removePlacedAt(chat uint64, upstream string) {
	if placedAt, ok := t.lookup(chat); ok && placedAt == upstream {
		t.remove(chat)
	}
}

// removeReturned removes the row of a chat that the home has cached again.
func (t *placementTable) removeReturned(now time.Time, chat uint64) {
	if i, ok := t.index[chat]; ok && t.age(now, i) > maxCacheEventDelay {
		t.remove(chat)
	}
}

func (t *placementTable) age(now time.Time, i int32) time.Duration {
	return time.Duration(now.Unix()-int64(t.rows[i].setAt)) * time.Second
}

// expire removes rows older than maxPlacementAge.
func (t *placementTable) expire(now time.Time) {
	for len(t.index) > 0 && t.age(now, t.oldest) > maxPlacementAge {
		t.remove(t.rows[t.oldest].chat)
	}
}

func (t *placementTable) insert(r placementRow) {
	if t.index == nil {
		t.index = make(map[uint64]int32)
	}
	if len(t.index) == 0 {
		t.newest, t.oldest = noRow, noRow
	}
	r.newer, r.older = noRow, t.newest
	i := t.allocateRow()
	t.rows[i] = r
	if t.newest != noRow {
		t.rows[t.newest].newer = i
	} else {
		t.oldest = i
	}
	t.newest = i
	t.index[r.chat] = i
}

// allocateRow returns the index of an unused row.
func (t *placementTable) allocateRow() int32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	t.rows = append(t.rows, placementRow{})
	return int32(len(t.rows) - 1)
}

func (t *placementTable) remove(chat uint64) {
	i, ok := t.index[chat]
	if !ok {
		return
	}
	delete(t.index, chat)
	r := t.rows[i]
	if r.newer != noRow {
		t.rows[r.newer].older = r.older
	} else {
		t.newest = r.older
	}
	if r.older != noRow {
		t.rows[r.older].newer = r.newer
	} else {
		t.oldest = r.newer
	}
	t.rows[i] = placementRow{}
	t.free = append(t.free, i)
}

// applyCacheEvents applies the upstream's own events to its table and returns
// the events that are new. Gaps in the sequence are accepted: a missed event
// costs only one correction of the table.
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
