package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

const (
	// maxPendingChunks is the number of chunks that may wait for an earlier one.
	maxPendingChunks = 64
	// maxPendingBytes bounds the memory of these chunks.
	maxPendingBytes = 1 << 20
	// gapTimeout is the longest wait for a missing chunk. Engines repeat nothing
	// on an open stream, so a chunk that is later than this was lost.
	gapTimeout = 2 * time.Second
)

var (
	// ErrGap means that a chunk of the stream is missing.
	ErrGap = errors.New("chunk of the stream is missing")
	// ErrRestarted means that a resumed stream began again from its start.
	ErrRestarted = errors.New("engine restarted the stream instead of resuming it")

	doneData = []byte("[DONE]")
)

// sequencer passes on the chunks of one attempt exactly once and in sequence.
type sequencer struct {
	attempt      uint32
	next         uint64
	done         bool
	pending      map[uint64][]byte
	pendingBytes int
	gapWait      time.Duration
	dropped      int
	resumed      bool
	deliver      func(seq uint64, data []byte) error
}

func newSequencer(attempt uint32, deliver func(seq uint64, data []byte) error) *sequencer {
	return &sequencer{attempt: attempt, next: 1, deliver: deliver}
}

// lastSeq returns the sequence number of the last chunk passed on, 0 if none.
func (f *sequencer) lastSeq() uint64 { return f.next - 1 }

// lastEventID returns the event id of the last chunk passed on.
func (f *sequencer) lastEventID() string { return fmt.Sprintf("%d:%d", f.attempt, f.lastSeq()) }

// prepareResume forgets the chunks held from the broken connection; the engine sends
// them again.
func (f *sequencer) prepareResume() {
	f.pending, f.pendingBytes, f.gapWait = nil, 0, 0
	f.resumed = true
}

// add takes one chunk, which is valid only during the call.
func (f *sequencer) add(id, data []byte) error {
	attempt, seq, ok := parseEventID(id)
	if !ok || attempt != f.attempt {
		f.dropped++
		return nil
	}
	if f.resumed && seq == 1 {
		return ErrRestarted
	}
	f.resumed = false
	if _, pending := f.pending[seq]; pending || seq < f.next || f.done {
		f.dropped++
		return nil
	}
	if seq > f.next {
		return f.keepPending(seq, data)
	}
	if err := f.deliverNext(data); err != nil {
		return err
	}
	return f.deliverPending()
}

// keepPending keeps a copy of a chunk that came before its turn.
func (f *sequencer) keepPending(seq uint64, data []byte) error {
	if seq-f.next > maxPendingChunks || f.pendingBytes+len(data) > maxPendingBytes {
		return fmt.Errorf("%w: %d expected, %d received", ErrGap, f.next, seq)
	}
	if f.pending == nil {
		f.pending = map[uint64][]byte{}
	}
	f.pending[seq] = bytes.Clone(data)
	f.pendingBytes += len(data)
	return nil
}

// deliverPending passes on the held chunks whose turn has come.
func (f *sequencer) deliverPending() error {
	for len(f.pending) > 0 && !f.done {
		data, ok := f.pending[f.next]
		if !ok {
			return nil
		}
		delete(f.pending, f.next)
		f.pendingBytes -= len(data)
		if err := f.deliverNext(data); err != nil {
			return err
		}
	}
	return nil
}

func (f *sequencer) deliverNext(data []byte) error {
	seq := f.next
	f.next++
	f.gapWait = 0
	if bytes.Equal(data, doneData) {
		f.done = true
		return nil
	}
	return f.deliver(seq, data)
}

// addReadTime records time spent in reading. Only this time counts against a gap:
// while a slow caller blocks the stream, the missing chunk cannot be read.
func (f *sequencer) addReadTime(d time.Duration) {
	if len(f.pending) > 0 {
		f.gapWait += d
	}
}

// nextReadTimeout returns how long the next read may take; gap tells whether a
// missing chunk limits it.
func (f *sequencer) nextReadTimeout(readLimit time.Duration) (timeout time.Duration, gapPending bool) {
	if len(f.pending) == 0 || gapTimeout-f.gapWait > readLimit {
		return readLimit, false
	}
	return max(0, gapTimeout-f.gapWait), true
}

// parseEventID splits "<attempt>:<sequence>".
func parseEventID(id []byte) (attempt uint32, seq uint64, ok bool) {
	attemptText, seqText, found := bytes.Cut(id, []byte{':'})
	if !found {
		return 0, 0, false
	}
	a, err := strconv.ParseUint(string(attemptText), 10, 32)
	if err != nil {
		return 0, 0, false
	}
	seq, err = strconv.ParseUint(string(seqText), 10, 64)
	return uint32(a), seq, err == nil && seq > 0
}
