package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

const (
	// maxPendingChunks bounds how far a chunk may be ahead of the next one.
	maxPendingChunks = 64
	// maxPendingBytes bounds the memory of the chunks that wait for an earlier one.
	maxPendingBytes = 1 << 20
	// gapTimeout is the longest wait for a missing chunk. Engines do not resend
	// chunks on an open stream, so a chunk that is later than this is lost.
	gapTimeout = 2 * time.Second
)

var (
	// ErrGap means that a chunk of the stream is missing.
	ErrGap = errors.New("chunk of the stream is missing")
	// ErrRestarted means that the engine, instead of resuming the stream, started
	// it again or has itself been restarted.
	ErrRestarted = errors.New("engine restarted the stream instead of resuming it")

	doneData = []byte("[DONE]")
)

// sequencer delivers the chunks of one attempt in order, each once. Chunks that
// arrive early are pending until the missing ones have been delivered.
type sequencer struct {
	attempt uint32
	// next is the sequence number of the next chunk to deliver, from 1.
	next uint64
	// done is set once [DONE] was reached in sequence.
	done         bool
	pending      map[uint64][]byte
	pendingBytes int
	// gapWait is the read time since the last delivered chunk, counted only while
	// chunks are pending.
	gapWait time.Duration
	dropped int
	// resumed is set until the first chunk of a resumed stream.
	resumed bool
	deliver func(seq uint64, data []byte) error
	// memory is that of the pending chunks.
	memory reservation
}

func newSequencer(attempt uint32, deliver func(seq uint64, data []byte) error) *sequencer {
	return &sequencer{attempt: attempt, next: 1, deliver: deliver}
}

// lastSeq returns the sequence number of the last delivered chunk, 0 if none.
func (s *sequencer) lastSeq() uint64 { return s.next - 1 }

// lastEventID returns the event id of the last delivered chunk.
func (s *sequencer) lastEventID() string { return fmt.Sprintf("%d:%d", s.attempt, s.lastSeq()) }

// prepareResume discards the pending chunks of the broken connection, since the
// engine sends them again.
func (s *sequencer) prepareResume() {
	s.discardPending()
	s.resumed = true
}

func (s *sequencer) discardPending() {
	s.pending, s.pendingBytes, s.gapWait = nil, 0, 0
	s.memory.release(s.memory.held)
}

// add handles one chunk. Its id and data are valid only during the call.
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

// keepPending keeps a copy of a chunk that arrived before an earlier one.
func (s *sequencer) keepPending(seq uint64, data []byte) error {
	if seq-s.next > maxPendingChunks || s.pendingBytes+len(data) > maxPendingBytes {
		return fmt.Errorf("%w: %d expected, %d received", ErrGap, s.next, seq)
	}
	if err := s.memory.add(len(data)); err != nil {
		return err
	}
	if s.pending == nil {
		s.pending = map[uint64][]byte{}
	}
	s.pending[seq] = bytes.Clone(data)
	s.pendingBytes += len(data)
	return nil
}

// deliverPending delivers the pending chunks up to the next missing one.
func (s *sequencer) deliverPending() error {
	for len(s.pending) > 0 && !s.done {
		data, ok := s.pending[s.next]
		if !ok {
			return nil
		}
		delete(s.pending, s.next)
		s.pendingBytes -= len(data)
		s.memory.release(min(int64(len(data)), s.memory.held))
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

// addReadTime adds the time of one read to the wait for a missing chunk. Only
// read time counts: while a slow caller blocks the stream, the missing chunk
// cannot be read.
func (s *sequencer) addReadTime(d time.Duration) {
	if len(s.pending) > 0 {
		s.gapWait += d
	}
}

// nextReadTimeout returns how long the next read may take. gapPending is true if
// the wait for a missing chunk limits it.
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
