package kv

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// jsonInt64 is an int64 that the gateway encodes as a JSON string and decodes
// from a JSON string or number.
type jsonInt64 int64

// MarshalJSON encodes the number as a JSON string.
func (n jsonInt64) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

// UnmarshalJSON decodes a JSON string or number.
func (n *jsonInt64) UnmarshalJSON(text []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(text), `"`), 10, 64)
	if err != nil {
		return fmt.Errorf("int64: %w", err)
	}
	*n = jsonInt64(v)
	return nil
}

// camelCaseField matches a field name in camel case, which the gateway accepts as
// well as the snake case of the protocol. It cannot match inside a value: base64
// contains no quotes.
var camelCaseField = regexp.MustCompile(`"[a-z]+(?:[A-Z][a-z]+)+"\s*:`)

var upperCaseLetter = regexp.MustCompile(`[A-Z]`)

// snakeCaseFields converts field names in camel case to snake case.
func snakeCaseFields(body []byte) []byte {
	return camelCaseField.ReplaceAllFunc(body, func(key []byte) []byte {
		return upperCaseLetter.ReplaceAllFunc(key, func(c []byte) []byte { return []byte("_" + strings.ToLower(string(c))) })
	})
}

type responseHeader struct {
	ClusterID jsonInt64 `json:"cluster_id"`
	MemberID  jsonInt64 `json:"member_id"`
	Revision  jsonInt64 `json:"revision"`
	RaftTerm  jsonInt64 `json:"raft_term"`
}

type keyValue struct {
	Key            []byte    `json:"key"`
	CreateRevision jsonInt64 `json:"create_revision,omitempty"`
	ModRevision    jsonInt64 `json:"mod_revision,omitempty"`
	Version        jsonInt64 `json:"version,omitempty"`
	Value          []byte    `json:"value,omitempty"`
	Lease          jsonInt64 `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key      []byte    `json:"key"`
	RangeEnd []byte    `json:"range_end"`
	Limit    jsonInt64 `json:"limit"`
	KeysOnly bool      `json:"keys_only"`
}

type rangeResponse struct {
	Header *responseHeader `json:"header,omitempty"`
	Kvs    []keyValue      `json:"kvs,omitempty"`
	More   bool            `json:"more,omitempty"`
	Count  jsonInt64       `json:"count,omitempty"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease jsonInt64 `json:"lease"`
}

type putResponse struct {
	Header *responseHeader `json:"header,omitempty"`
}

type deleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteRangeResponse struct {
	Header  *responseHeader `json:"header,omitempty"`
	Deleted jsonInt64       `json:"deleted,omitempty"`
}

type comparison struct {
	Result         string    `json:"result"`
	Target         string    `json:"target"`
	Key            []byte    `json:"key"`
	CreateRevision jsonInt64 `json:"create_revision"`
	ModRevision    jsonInt64 `json:"mod_revision"`
	Version        jsonInt64 `json:"version"`
	Value          []byte    `json:"value"`
}

type operation struct {
	Range  *rangeRequest       `json:"request_range"`
	Put    *putRequest         `json:"request_put"`
	Delete *deleteRangeRequest `json:"request_delete_range"`
}

type operationResponse struct {
	Range  *rangeResponse       `json:"response_range,omitempty"`
	Put    *putResponse         `json:"response_put,omitempty"`
	Delete *deleteRangeResponse `json:"response_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []comparison `json:"compare"`
	Success []operation  `json:"success"`
	Failure []operation  `json:"failure"`
}

type txnResponse struct {
	Header    *responseHeader     `json:"header,omitempty"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type leaseMessage struct {
	Header *responseHeader `json:"header,omitempty"`
	ID     jsonInt64       `json:"ID,omitempty"`
	TTL    jsonInt64       `json:"TTL,omitempty"` // seconds
}

type event struct {
	Type string   `json:"type,omitempty"` // "DELETE", or empty for a put
	Kv   keyValue `json:"kv"`
}

type watchRequest struct {
	Create *struct {
		Key            []byte    `json:"key"`
		RangeEnd       []byte    `json:"range_end"`
		StartRevision  jsonInt64 `json:"start_revision"`
		ProgressNotify bool      `json:"progress_notify"`
	} `json:"create_request"`
}

type watchResponse struct {
	Header          *responseHeader `json:"header,omitempty"`
	Created         bool            `json:"created,omitempty"`
	Canceled        bool            `json:"canceled,omitempty"`
	CompactRevision jsonInt64       `json:"compact_revision,omitempty"`
	Events          []event         `json:"events,omitempty"`
}

type streamMessage struct {
	Result any `json:"result"`
}
