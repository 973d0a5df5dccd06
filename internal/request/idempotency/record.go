package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
)

// KeyPrefix is the prefix of the records' keys in the key-value store.
const KeyPrefix = "/hemlock/once/"

// state is the progress of a recorded call.
type state string

const (
	stateStarted state = "started"
	stateNotRun  state = "not-run"
	stateDone    state = "done"
)

// record is the stored record of a call.
type record struct {
	State    state     `json:"state"`
	Attempt  string    `json:"attempt"`
	Hash     string    `json:"hash"`
	Response *Response `json:"response,omitempty"`
}

// Response is a recorded response.
type Response struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header holds the header fields that describe the body.
	Header http.Header `json:"header,omitempty"`
	// Body is empty if it exceeded MaxBodySize.
	Body []byte `json:"body,omitempty"`
	// TooLarge is true if the body was omitted because of its size.
	TooLarge bool `json:"too_large,omitempty"`
}

// Call is a call that must run at most once.
type Call struct {
	// Service, Workspace and Key (the idempotency key) identify the record.
	Service, Workspace, Key string
	// Method, Path (including the query) and Body must be the same whenever the
	// key is used.
	Method, Path string
	Body         []byte
}

// recordKey returns the store key of the call's record.
func (c Call) recordKey() string {
	sum := sha256.Sum256([]byte(c.Key))
	return KeyPrefix + url.PathEscape(c.Service) + "/" + url.PathEscape(c.Workspace) + "/" + hex.EncodeToString(sum[:])
}

// contentHash identifies the content of the call. Each part is prefixed with
// its length, so that different calls do not hash the same bytes.
func (c Call) contentHash() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.Method), []byte(c.Path), c.Body} {
		// Writes to a hash never fail.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (r record) encode() []byte {
	// All fields of a record can be encoded.
	text, _ := json.Marshal(r)
	return text
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("record of a call: %w", err)
	}
	switch r.State {
	case stateStarted, stateNotRun, stateDone:
		return r, nil
	}
	return r, fmt.Errorf("record of a call has the unknown state %q", r.State)
}
