package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"time"
)

var errMalformedChunk = errors.New("engine sent a chunk that is not a JSON object")

// identityMembers are set by the entry, so that the caller sees one completion
// whatever engine or resumed stream the chunks come from.
var identityMembers = map[string]bool{"id": true, "object": true, "created": true, "model": true}

// chunkRewriter gives the chunks of a request one identity.
type chunkRewriter struct {
	head           []byte // the own members, with the opening brace
	hideUsageChunk bool   // the caller did not ask for the chunk with the usage
	buffer         []byte
}

func newChunkRewriter(id, object, model string, created time.Time) *chunkRewriter {
	// Strings always encode.
	quotedModel, _ := json.Marshal(model)
	head := []byte(`{"id":"` + id + `","object":"` + object + `","created":`)
	head = strconv.AppendInt(head, created.Unix(), 10)
	head = append(append(head, `,"model":`...), quotedModel...)
	return &chunkRewriter{head: head}
}

// rewrite returns the chunk as a server-sent event, valid until the next call,
// or nothing if the caller shall not see it.
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

// isEmptyArray reports whether an array has no element. The chunk that carries the
// usage has no choices, and many callers expect one in each chunk.
func isEmptyArray(array []byte) bool {
	return firstByte(array) == '[' && array[skipSpace(array, 1)] == ']'
}

// appendSingleLine adds JSON without line breaks, which would end the data line.
// Inside strings JSON allows none.
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
