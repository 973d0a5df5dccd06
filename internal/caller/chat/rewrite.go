package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"time"
)

var errMalformedChunk = errors.New("engine sent a chunk that is not a JSON object")

// identityMembers are replaced in each chunk, so that the caller sees one
// completion even if the chunks come from several engines or resumed streams.
var identityMembers = map[string]bool{"id": true, "object": true, "created": true, "model": true}

// chunkRewriter replaces the identity members of all chunks of a request.
type chunkRewriter struct {
	head           []byte // opening brace and identity members
	hideUsageChunk bool   // the caller did not request the usage chunk
	buffer         []byte
}

func newChunkRewriter(id, object, model string, created time.Time) *chunkRewriter {
	// Marshaling a string cannot fail.
	quotedModel, _ := json.Marshal(model)
	head := []byte(`{"id":"` + id + `","object":"` + object + `","created":`)
	head = strconv.AppendInt(head, created.Unix(), 10)
	head = append(append(head, `,"model":`...), quotedModel...)
	return &chunkRewriter{head: head}
}

// rewrite returns the rewritten chunk as a server-sent event, or nil if the
// chunk is hidden from the caller. The event is valid until the next call.
func (rw *chunkRewriter) rewrite(chunk []byte) ([]byte, error) {
	chunk = chunk[skipSpace(chunk, 0):]
	if !json.Valid(chunk) || firstByte(chunk) != '{' {
		return nil, errMalformedChunk
	}
	hidden := false
	b := append(rw.buffer[:0], "data: "...)
	b = append(b, rw.head...)
	err := forEachMember(chunk, func(name, value []byte) error {
		if identityMembers[string(name)] {
			return nil
		}
		if rw.hideUsageChunk && string(name) == "choices" && isEmptyArray(value) {
			hidden = true
		}
		b = append(b, ',')
		b = appendMemberName(b, name)
		b = appendSingleLine(b, value)
		return nil
	})
	rw.buffer = append(b, "}\n\n"...)
	if hidden || err != nil {
		return nil, err
	}
	return rw.buffer, nil
}

// isEmptyArray reports whether value is an array without elements. The usage
// chunk has no choices, while many callers expect a choice in each chunk.
func isEmptyArray(value []byte) bool {
	return firstByte(value) == '[' && value[skipSpace(value, 1)] == ']'
}

// appendSingleLine appends JSON without its line breaks, which would end the
// data line of the event. JSON strings cannot contain unescaped line breaks.
func appendSingleLine(b, value []byte) []byte {
	if bytes.IndexByte(value, '\n') < 0 && bytes.IndexByte(value, '\r') < 0 {
		return append(b, value...)
	}
	for _, c := range value {
		if c != '\n' && c != '\r' {
			b = append(b, c)
		}
	}
	return b
}
