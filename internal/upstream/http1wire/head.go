package http1wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

var (
	// ErrMalformed means that a server sent bytes that are no response of HTTP/1.1.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLong means that the head or the trailer section of a response exceeds
	// its limit.
	ErrHeadTooLong = errors.New("head of the response exceeds the size limit")
)

// usualHeadBytes fits most heads.
const usualHeadBytes = 512

// maxQuoted bounds what an error quotes of a malformed line, in bytes.
const maxQuoted = 80

func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s: %q", ErrMalformed, what, line[:min(len(line), maxQuoted)])
}

// section reads the lines of a head or of a trailer section.
type section struct {
	reader *bufio.Reader
	// limit is the largest size in bytes.
	limit int
	// lineFeeds allows lines that end with LF alone, as RFC 9112 lets recipients do.
	lineFeeds bool
	text      []byte
}

// next returns the next line without its end.
func (s *section) next() ([]byte, error) {
	start := len(s.text)
	for {
		part, err := s.reader.ReadSlice('\n')
		s.text = append(s.text, part...)
		if len(s.text) > s.limit {
			return nil, ErrHeadTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(s.text) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		line, found := bytes.CutSuffix(s.text[start:len(s.text)-1], []byte("\r"))
		if !found && !s.lineFeeds {
			return nil, malformed("line end", line)
		}
		return line, nil
	}
}

// fields reads field lines up to the empty line and passes each to observe.
func (s *section) fields(observe func(name []byte)) error {
	for {
		line, err := s.next()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		name, err := fieldName(line)
		if err != nil {
			return err
		}
		observe(name)
	}
}

// fieldName returns the name of a field line. A line that begins with white space, by
// which senders once continued the line before, is malformed: RFC 9112 has proxies
// discard such a response or rewrite it.
func fieldName(line []byte) ([]byte, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, malformed("field name", line)
	}
	if !isText(value) {
		return nil, malformed("field value", line)
	}
	return name, nil
}

const (
	digits  = "0123456789"
	letters = "abcdefghijklmnopqrstuvwxyz"
)

// tokenBytes holds the bytes of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte(digits + letters + strings.ToUpper(letters) + "!#$%&'*+-.^_`|~") {
		set[b] = true
	}
	return set
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether all bytes may stand in a field value or a reason phrase: visible
// characters, bytes above ASCII, spaces and tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// checkStatusLine checks a line of the form "HTTP/1.1 200 OK". The reason may be missing,
// with the space before it.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return malformed("HTTP version", line)
	}
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) {
		return malformed("status", line)
	}
	// RFC 9110, section 15: other values are invalid.
	if status[0] < '1' || status[0] > '5' {
		return malformed("status outside 100 to 599", line)
	}
	// No request of ours asks for another protocol.
	if string(status) == "101" {
		return malformed("switch to a protocol that was not requested", line)
	}
	if !isText(reason) {
		return malformed("reason phrase", line)
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// readHead reads the head of a response, at most limit bytes. io.EOF means that there is
// none.
func readHead(r *bufio.Reader, limit int) ([]byte, error) {
	s := section{reader: r, limit: limit, lineFeeds: true, text: make([]byte, 0, usualHeadBytes)}
	statusLine, err := s.next()
	if err != nil {
		return nil, err
	}
	if err := checkStatusLine(statusLine); err != nil {
		return nil, err
	}
	http10 := bytes.HasPrefix(statusLine, []byte("HTTP/1.0"))
	coded, sized := false, false
	err = s.fields(func(name []byte) {
		coded = coded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		sized = sized || bytes.EqualFold(name, []byte("Content-Length"))
	})
	if err != nil {
		return nil, err
	}
	// Recipients differ on where such a body ends.
	if coded && (sized || http10) {
		return nil, fmt.Errorf("%w: Transfer-Encoding with Content-Length or HTTP/1.0", ErrMalformed)
	}
	return s.text, nil
}
