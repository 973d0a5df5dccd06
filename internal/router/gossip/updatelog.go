package gossip

import (
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

const (
	// updateRequestBytes is the size of a request for updates without known revisions:
	// format, revision.
	updateRequestBytes = 9
	// knownRevisionBytes is the size of one known revision, which is stated as a
	// difference.
	knownRevisionBytes = 4
	// maxKnownRevisions is the number of known revisions above which a request has a
	// bit for each revision instead: a whole failure domain is lost at once.
	maxKnownRevisions = 64
	// maxBitmapBytes limits these bits. Updates beyond them may be sent again.
	maxBitmapBytes = MaxDatagram - updateRequestBytes
	// maxLoggedUpdates limits the updates kept for peers, to about 1 MB. A failure
	// domain of the largest fleet with a third of 12,000 upstreams fits.
	maxLoggedUpdates = 4096
)

// loggedUpdate is an update and when this router applied it.
type loggedUpdate struct {
	directory.Update
	at clock.Instant
}

// UpdateLog holds the updates that changed this router's directory recently, for
// peers that missed them. The store's own history cannot serve for that in a large
// fleet: it consists of heartbeats, some 250 bytes for each upstream every few
// seconds. A peer that gets updates from the log must not count as up to date until
// its state has the hash of a confirmed one. It is safe for concurrent use.
type UpdateLog struct {
	mu      sync.Mutex
	updates []loggedUpdate
}

// Add appends updates that changed the directory.
func (l *UpdateLog) Add(now clock.Instant, updates []directory.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range updates {
		l.updates = append(l.updates, loggedUpdate{u, now})
	}
	if excess := len(l.updates) - maxLoggedUpdates; excess > 0 {
		l.updates = slices.Delete(l.updates, 0, excess)
	}
}

// RequestAfter returns a datagram that asks a peer for its updates after a store revision
// up to which this router knows all, apart from those in the log.
func (l *UpdateLog) RequestAfter(revision uint64) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var known []uint64
	for _, u := range l.updates {
		if u.Revision > revision && u.Revision-revision <= math.MaxUint32 {
			known = append(known, u.Revision-revision)
		}
	}
	if len(known) > maxKnownRevisions {
		return bitmapRequest(revision, known)
	}
	d := binary.BigEndian.AppendUint64([]byte{updateRequestFormat}, revision)
	for _, offset := range known {
		d = binary.BigEndian.AppendUint32(d, uint32(offset))
	}
	return d
}

// bitmapRequest returns a request with a bit for each revision after the given one; known
// holds the differences of the known ones to it.
func bitmapRequest(revision uint64, known []uint64) []byte {
	d := binary.BigEndian.AppendUint64([]byte{updateBitmapFormat}, revision)
	bits := make([]byte, maxBitmapBytes)
	used := 0
	for _, offset := range known {
		if i := int(min(offset/8, math.MaxInt32)); i < len(bits) {
			bits[i] |= 1 << (offset % 8)
			used = max(used, i+1)
		}
	}
	return append(d, bits[:used]...)
}

// knownRevisions returns the revisions that the sender of a request knows.
func knownRevisions(request []byte) map[uint64]bool {
	revision, d := binary.BigEndian.Uint64(request[1:]), request[updateRequestBytes:]
	known := map[uint64]bool{}
	if request[0] == updateBitmapFormat {
		for i := range uint64(len(d)) * 8 {
			if d[i/8]&(1<<(i%8)) != 0 {
				known[revision+i] = true
			}
		}
		return known
	}
	for ; len(d) > 0; d = d[knownRevisionBytes:] {
		known[revision+uint64(binary.BigEndian.Uint32(d))] = true
	}
	return known
}

// Requested returns the updates that a peer asks for and that it does not know: the last
// one of each upstream. The remaining time of a cold start is reduced by the time in the
// log. IsUpdateRequest must be true for request.
func (l *UpdateLog) Requested(now clock.Instant, request []byte) []directory.Update {
	known := knownRevisions(request)
	updates := l.after(now, binary.BigEndian.Uint64(request[1:]))
	return slices.DeleteFunc(updates, func(u directory.Update) bool { return known[u.Revision] })
}

func (l *UpdateLog) after(now clock.Instant, revision uint64) []directory.Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	var updates []directory.Update
	seen := map[string]bool{}
	for _, u := range slices.Backward(l.updates) {
		if u.Revision <= revision || seen[u.ID] {
			continue
		}
		seen[u.ID] = true
		if u.Entry != nil && u.Entry.ColdRemaining > 0 {
			entry := *u.Entry
			// It stays above 0, since the state hash shows whether there was one.
			entry.ColdRemaining = max(time.Millisecond, entry.ColdRemaining-now.Sub(u.at))
			u.Entry = &entry
		}
		updates = append(updates, u.Update)
	}
	slices.Reverse(updates)
	return updates
}

// IsUpdateRequest reports whether a datagram is a request for updates.
func IsUpdateRequest(d []byte) bool {
	if len(d) < updateRequestBytes {
		return false
	}
	return d[0] == updateBitmapFormat || d[0] == updateRequestFormat && (len(d)-updateRequestBytes)%knownRevisionBytes == 0
}
