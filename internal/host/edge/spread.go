package edge

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
)

const (
	// changesFormat is the first byte of a datagram with changes of upstreams.
	changesFormat = 0x80
	// maxChanges is how many changes fit in one datagram.
	maxChanges = 4
	// repeatFor is how long a change is repeated, to cover lost datagrams, and
	// repeats the same in intervals of datagrams, whichever is longer.
	repeatFor = 600 * time.Millisecond
	repeats   = 3
)

// recentChange is a change that is still repeated.
type recentChange struct {
	at      clock.Instant
	content []byte
}

// spread tells all peers of a change that the store has told this router, so
// that they need not read the store.
func (e *Edge) spread(now clock.Instant, c UpstreamChange) {
	content, err := json.Marshal(c)
	if err != nil {
		e.log.WithError(err).Warn("change of an upstream not told to peers")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recent = append(e.recent, recentChange{now, content})
}

// changeDatagrams returns the changes of the last moments, one a line.
func (e *Edge) changeDatagrams(now clock.Instant) [][]byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	told := max(repeatFor, repeats*digest.Interval(len(e.board.Routers(now))))
	for len(e.recent) > 0 && now.Sub(e.recent[0].at) > told {
		e.recent = e.recent[1:]
	}
	var datagrams [][]byte
	for i, r := range e.recent {
		if i%maxChanges == 0 {
			datagrams = append(datagrams, []byte{changesFormat})
		}
		last := &datagrams[len(datagrams)-1]
		*last = append(append(*last, r.content...), '\n')
	}
	return datagrams
}

// hearChanges applies changes that a peer has told.
func (e *Edge) hearChanges(now clock.Instant, content []byte) {
	for line := range bytes.Lines(content) {
		var c UpstreamChange
		if err := json.Unmarshal(line, &c); err != nil || c.ID == "" || c.Revision == 0 {
			e.counters.Add("changes_malformed", 1)
			return
		}
		if e.apply(now, c) {
			e.board.SetMark(digest.Upstreams, e.upstreams.setHash(e.directory.Hash()))
		}
	}
}
