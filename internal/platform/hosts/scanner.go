package hosts

import (
	"bytes"
	"errors"
)

// Errors of a text that is no JSON array.
var (
	errNoArray   = errors.New("the text is no array")
	errTruncated = errors.New("the array has no end")
	errTrailing  = errors.New("text after the array")
)

const whitespace = " \t\r\n"

// arrayScanner splits a JSON array into its elements without decoding them. The
// decoder of encoding/json cannot continue after an invalid or too deeply nested
// element.
type arrayScanner struct {
	rest    []byte
	started bool
	ended   bool
}

// next returns the text of the next element, or nil after the last one.
func (s *arrayScanner) next() ([]byte, error) {
	if !s.started {
		s.started = true
		s.rest = bytes.TrimLeft(s.rest, whitespace)
		if len(s.rest) == 0 || s.rest[0] != '[' {
			return nil, errNoArray
		}
		s.rest = s.rest[1:]
		if end := bytes.TrimLeft(s.rest, whitespace); len(end) > 0 && end[0] == ']' {
			s.rest, s.ended = end[1:], true
		}
	}
	if s.ended {
		if len(bytes.TrimLeft(s.rest, whitespace)) > 0 {
			return nil, errTrailing
		}
		return nil, nil
	}
	length, ok := elementLength(s.rest)
	if !ok {
		return nil, errTruncated
	}
	element := bytes.Trim(s.rest[:length], whitespace)
	s.ended = s.rest[length] == ']'
	s.rest = s.rest[length+1:]
	if element == nil {
		element = []byte{}
	}
	return element, nil
}

// elementLength returns the position of the comma or bracket that ends the first
// element.
func elementLength(text []byte) (int, bool) {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case depth == 0 && (c == ',' || c == ']'):
			return i, true
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		}
	}
	return 0, false
}
