package engine

import (
	"bytes"
	"errors"
	"io"
)

// ErrTooLong means that a line or an event of a stream exceeds the size limit.
var ErrTooLong = errors.New("event of the stream exceeds the size limit")

const (
	// initialBufferBytes fits a few chunks of one token each, the usual content of
	// one read.
	initialBufferBytes = 2 << 10
	// maxFieldNameBytes is added to the size limit of a line for its field name.
	maxFieldNameBytes = 16
	// maxEmptyReads bounds the consecutive reads without data or error.
	maxEmptyReads = 100
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// Event is one server-sent event. Its slices are valid until the next call of
// Parser.Next.
type Event struct {
	name, id, data []byte
}

// Name returns the event field, empty for the default event type.
func (e Event) Name() []byte { return e.name }

// ID returns the id field of this event, empty if it has none.
func (e Event) ID() []byte { return e.id }

// Data returns the data fields, joined by newlines.
func (e Event) Data() []byte { return e.data }

// Parser splits a stream into server-sent events with bounded memory.
type Parser struct {
	reader        io.Reader
	maxEventBytes int
	buffer        []byte
	start, end    int
	skipLF        bool
	bomChecked    bool
	event         Event
	hasData       bool
	memory        reservation
}

// release releases what the parser has reserved. The parser must not be used any more.
func (p *Parser) release() { p.memory.release(p.memory.held) }

// NewParser returns a parser that fails with ErrTooLong on a line or an event of
// more than maxEventBytes.
func NewParser(r io.Reader, maxEventBytes int) *Parser {
	return &Parser{reader: r, maxEventBytes: maxEventBytes}
}

// Next returns the next event that has data. It returns the error of the
// reader after the last complete event; an incomplete event is discarded.
func (p *Parser) Next() (Event, error) {
	p.reset()
	for {
		line, err := p.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if p.hasData {
				return p.event, nil
			}
			p.reset()
			continue
		}
		if err := p.addField(line); err != nil {
			return Event{}, err
		}
	}
}

func (p *Parser) reset() {
	p.event.name, p.event.id, p.event.data = p.event.name[:0], p.event.id[:0], p.event.data[:0]
	p.hasData = false
}

// addField adds one line to the event. It ignores comments, which start with a
// colon, and unknown fields, as the standard requires.
func (p *Parser) addField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		return p.addData(value)
	case "event":
		p.event.name = append(p.event.name[:0], value...)
	case "id":
		if bytes.IndexByte(value, 0) < 0 {
			p.event.id = append(p.event.id[:0], value...)
		}
	}
	return nil
}

func (p *Parser) addData(value []byte) error {
	if len(p.event.data)+len(value)+1 > p.maxEventBytes {
		return ErrTooLong
	}
	if p.hasData {
		p.event.data = append(p.event.data, '\n')
	}
	p.hasData = true
	if need := len(p.event.data) + len(value); need > cap(p.event.data) {
		grown := min(max(2*cap(p.event.data), need), p.maxEventBytes)
		if err := p.memory.add(grown - max(cap(p.event.data), freeBufferBytes)); err != nil {
			return err
		}
		p.event.data = append(make([]byte, 0, grown), p.event.data...)
	}
	p.event.data = append(p.event.data, value...)
	return nil
}

// readLine returns the next line without its terminator LF, CR or CR LF. The line
// is valid until the next call.
func (p *Parser) readLine() ([]byte, error) {
	scanned := 0
	for {
		p.skipLineFeed()
		pending := p.buffer[p.start:p.end]
		i := bytes.IndexAny(pending[scanned:], "\r\n")
		if i >= 0 && scanned+i <= p.maxEventBytes+maxFieldNameBytes {
			return p.consumeLine(scanned + i), nil
		}
		scanned = len(pending)
		if scanned > p.maxEventBytes+maxFieldNameBytes {
			return nil, ErrTooLong
		}
		if err := p.fill(); err != nil {
			return nil, err
		}
	}
}

// skipLineFeed skips the LF of a CR LF pair, which may arrive in a later read than
// the CR.
func (p *Parser) skipLineFeed() {
	if p.skipLF && p.start < p.end {
		p.skipLF = false
		if p.buffer[p.start] == '\n' {
			p.start++
		}
	}
}

// consumeLine returns the first n buffered bytes as a line and consumes it with
// its terminator. It strips a byte order mark from the first line.
func (p *Parser) consumeLine(n int) []byte {
	line := p.buffer[p.start : p.start+n]
	p.skipLF = p.buffer[p.start+n] == '\r'
	p.start += n + 1
	if !p.bomChecked {
		p.bomChecked = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	return line
}

// fill reads more bytes into the buffer.
func (p *Parser) fill() error {
	if err := p.makeRoom(); err != nil {
		return err
	}
	for range maxEmptyReads {
		n, err := p.reader.Read(p.buffer[p.end:])
		p.end += n
		if n > 0 {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// makeRoom makes space at the end of the buffer: it moves the buffered bytes to
// the front or, if they fill it, doubles the buffer.
func (p *Parser) makeRoom() error {
	if p.start == p.end {
		p.start, p.end = 0, 0
	}
	if p.end < len(p.buffer) {
		return nil
	}
	if p.start > 0 {
		p.end = copy(p.buffer, p.buffer[p.start:p.end])
		p.start = 0
		return nil
	}
	size := max(initialBufferBytes, 2*len(p.buffer))
	if err := p.memory.add(size - max(len(p.buffer), freeBufferBytes)); err != nil {
		return err
	}
	grown := make([]byte, size)
	p.end = copy(grown, p.buffer[:p.end])
	p.buffer = grown
	return nil
}
