package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxEventBytes bounds the size of one server-sent event.
	maxEventBytes = 256 << 10
	// freeEventBytes is the size of the buffer for events that needs no reservation. Most
	// events are shorter.
	freeEventBytes = 8 << 10
)

// errEventTooLong means that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event exceeds the size limit")

// ErrNoRoom means that the budget has no room for an event.
var ErrNoRoom = errors.New("no memory for an event")

// errTruncatedEvent means that the stream ended within an event.
var errTruncatedEvent = fmt.Errorf("stream ended within an event: %w", io.ErrUnexpectedEOF)

// Event is one server-sent event as the upstream sent it.
type Event struct {
	raw []byte
	id  string
	// hasFields is set if the event has any line other than comments.
	hasFields bool
}

// Raw returns the bytes of the event including its final blank line, valid until
// the next call of EventReader.Next.
func (e Event) Raw() []byte { return e.raw }

// ID returns the id field, empty if the event has none.
func (e Event) ID() string { return e.id }

// IsComment reports whether the event has no field. Upstreams send such events to
// keep a connection open; they are no progress of the stream.
func (e Event) IsComment() bool { return !e.hasFields }

// Budget limits the memory for events, including one that never completes.
type Budget interface {
	// Reserve reserves n bytes, and returns false if there is no room for them.
	Reserve(n int64) bool
}

// EventReader splits a stream into events and leaves their bytes unchanged.
type EventReader struct {
	reader *bufio.Reader
	budget Budget
	buffer []byte
}

// NewEventReader returns an EventReader of the stream r that reserves the memory for its
// buffer, beyond the first 8 KB, from a budget. The reservations last until the caller
// releases them.
func NewEventReader(r io.Reader, b Budget) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes), budget: b}
}

// add adds bytes to the buffer.
func (r *EventReader) add(b []byte) error {
	need := len(r.buffer) + len(b)
	if need <= cap(r.buffer) {
		r.buffer = append(r.buffer, b...)
		return nil
	}
	size := max(need, min(max(2*cap(r.buffer), readBufferBytes), maxEventBytes+readBufferBytes))
	if more := size - max(cap(r.buffer), freeEventBytes); more > 0 && !r.budget.Reserve(int64(more)) {
		return ErrNoRoom
	}
	grown := make([]byte, len(r.buffer), size)
	copy(grown, r.buffer)
	r.buffer = append(grown, b...)
	return nil
}

// Next returns the next complete event, or io.EOF after the last one. A stream
// that ends within an event fails with io.ErrUnexpectedEOF, and one with an event for
// which there is no memory with ErrNoRoom.
func (r *EventReader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	id, hasFields := "", false
	for {
		start := len(r.buffer)
		for {
			slice, err := r.reader.ReadSlice('\n')
			if addErr := r.add(slice); addErr != nil {
				return Event{}, addErr
			}
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) && len(r.buffer) < maxEventBytes {
				continue
			}
			switch {
			case errors.Is(err, bufio.ErrBufferFull):
				err = errEventTooLong
			case errors.Is(err, io.EOF) && len(r.buffer) > 0:
				err = errTruncatedEvent
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.buffer[start:], "\r\n")
		if len(line) == 0 {
			return Event{raw: r.buffer, id: id, hasFields: hasFields}, nil
		}
		hasFields = hasFields || line[0] != ':'
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && string(name) == "id" {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(r.buffer) >= maxEventBytes {
			return Event{}, errEventTooLong
		}
	}
}
