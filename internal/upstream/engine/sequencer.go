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
func (s *sequencer) lastSeq() uint64 { return s.next - 1 }

// lastEventID returns the event id of the last chunk passed on.
func (s *sequencer) lastEventID() string { return fmt.Sprintf("%d:%d", s.attempt, s.lastSeq()) }

// prepareResume forgets the chunks held from the broken connection; the engine sends
// them again.
func (s *sequencer) prepareResume() {
	s.pending, s.pendingBytes, s.gapWait = nil, 0, 0
	s.resumed = true
}

// add takes one chunk, which is valid only during the call.
func (s *sequencer) add(id, data []byte) error {
	attempt, seq, ok := parseEventID(id)
	if !ok || attempt != s.attempt {
		s.dropped++
		return nil
	}
	if s.resumed && seq == 1 {
		return ErrRestarted
	}
	s.resumed = false
	if _, pending := s.pending[seq]; pending || seq < s.next || s.done {
		s.dropped++
		return nil
	}
	if seq > s.next {
		return s.keepPending(seq, data)
	}
	if err := s.deliverNext(data); err != nil {
		return err
	}
	return s.deliverPending()
}

// keepPending keeps a copy of a chunk that came before its turn.
func (s *sequencer) keepPending(seq uint64, data []byte) error {
	if seq-s.next > maxPendingChunks || s.pendingBytes+len(data) > maxPendingBytes {
		return fmt.Errorf("%w: %d expected, %d received", ErrGap, s.next, seq)
	}
	if s.pending == nil {
		s.pending = map[uint64][]byte{}
	}
	s.pending[seq] = bytes.Clone(data)
	s.pendingBytes += len(data)
	return nil
}

// deliverPending passes on the held chunks whose turn has come.
func (s *sequencer) deliverPending() error {
	for len(s.pending) > 0 && !s.done {
		data, ok := s.pending[s.next]
		if !ok {
			return nil
		}
		delete(s.pending, s.next)
		s.pendingBytes -= len(data)
		if err := s.deliverNext(data); err != nil {
			return err
		}
	}
	return nil
}

func (s *sequencer) deliverNext(data []byte) error {
	seq := s.next
	s.next++
	s.gapWait = 0
	if bytes.Equal(data, doneData) {
		s.done = true
		return nil
	}
	return s.deliver(seq, data)
}

// addReadTime records time spent in reading. Only this time counts against a gap:
// while a slow caller blocks the stream, the missing chunk cannot be read.
func (s *sequencer) addReadTime(d time.Duration) {
	if len(s.pending) > 0 {
		s.gapWait += d
	}
}

// nextReadTimeout returns how long the next read may take; gap tells whether a
// missing chunk limits it.
func (s *sequencer) nextReadTimeout(readTimeout time.Duration) (timeout time.Duration, gapPending bool) {
	if len(s.pending) == 0 || gapTimeout-s.gapWait > readTimeout {
		return readTimeout, false
	}
	return max(0, gapTimeout-s.gapWait), true
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
