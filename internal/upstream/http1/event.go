package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEvent bounds one server-sent event in bytes.
const maxEvent = 1 << 20

// errEventTooLong means that an event exceeds maxEvent.
var errEventTooLong = errors.New("event exceeds the size limit")

// errTornEvent means that the stream ended within an event.
var errTornEvent = fmt.Errorf("stream ended within an event: %w", io.ErrUnexpectedEOF)

// Event is one server-sent event as the upstream sent it.
type Event struct {
	raw []byte
	id  string
}

// Raw returns the bytes of the event with its blank line, valid until the next
// call of Events.Next.
func (e Event) Raw() []byte { return e.raw }

// ID returns the id field, empty if the event has none.
func (e Event) ID() string { return e.id }

// Events splits a stream into events without changing their bytes.
type Events struct {
	reader *bufio.Reader
	buffer []byte
}

// NewEvents returns a splitter of the stream.
func NewEvents(r io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(r, readBuffer)}
}

// Next returns the next whole event, or io.EOF after the last one. A stream
// that ends within an event is not complete.
func (s *Events) Next() (Event, error) {
	s.buffer = s.buffer[:0]
	id := ""
	for {
		start := len(s.buffer)
		for {
			part, err := s.reader.ReadSlice('\n')
			s.buffer = append(s.buffer, part...)
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) && len(s.buffer) < maxEvent {
				continue
			}
			if errors.Is(err, io.EOF) && len(s.buffer) > 0 {
				err = errTornEvent
			}
			return Event{}, err
		}
		line := bytes.TrimRight(s.buffer[start:], "\r\n")
		if len(line) == 0 {
			return Event{raw: s.buffer, id: id}, nil
		}
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && string(name) == "id" {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(s.buffer) >= maxEvent {
			return Event{}, errEventTooLong
		}
	}
}
