package kv

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxHistoryEvents is the number of past events that are kept for watches that
// start at an earlier revision.
const maxHistoryEvents = 100_000

// minTTLSeconds is the shortest TTL of a lease.
const minTTLSeconds = 1

var (
	errLeaseNotFound    = errors.New("etcdserver: requested lease not found")
	errEmptyKey         = errors.New("etcdserver: key is not provided")
	errUnknownOperation = errors.New("etcdserver: operation is not one of range, put, delete_range")
)

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]bool
}

// store holds keys, leases and past events. Server.mu guards it.
type store struct {
	revision          int64
	compactedRevision int64
	lastLeaseID       int64
	keys              map[string]keyValue
	history           []event
	leases            map[int64]*lease
}

func newStore() *store {
	// Lease IDs start high, so that they are not mistaken for revisions.
	return &store{revision: 1, lastLeaseID: 7_000_000, keys: map[string]keyValue{}, leases: map[int64]*lease{}}
}

func (s *store) header() *responseHeader {
	return &responseHeader{ClusterID: 1, MemberID: 1, Revision: jsonInt64(s.revision), RaftTerm: 2}
}

// inRange reports whether key is in the range [from, end). An empty end means
// from alone; a single zero byte means all keys from there on.
func inRange(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (s *store) keysInRange(from, end []byte) []keyValue {
	if len(end) == 0 {
		if kv, ok := s.keys[string(from)]; ok {
			return []keyValue{kv}
		}
		return nil
	}
	var found []keyValue
	for _, kv := range s.keys {
		if inRange(kv.Key, from, end) {
			found = append(found, kv)
		}
	}
	slices.SortFunc(found, func(a, b keyValue) int { return bytes.Compare(a.Key, b.Key) })
	return found
}

func (s *store) rangeKeys(r *rangeRequest) *rangeResponse {
	found := s.keysInRange(r.Key, r.RangeEnd)
	response := &rangeResponse{Header: s.header(), Count: jsonInt64(len(found))}
	if r.Limit > 0 && int(r.Limit) < len(found) {
		found, response.More = found[:r.Limit], true
	}
	if r.KeysOnly {
		found = slices.Clone(found)
		for i := range found {
			found[i].Value = nil
		}
	}
	response.Kvs = found
	return response
}

// recordEvent appends an event. It compacts the older half of a full history.
func (s *store) recordEvent(e event) {
	if len(s.history) >= maxHistoryEvents {
		half := len(s.history) / 2
		s.compactedRevision = int64(s.history[half-1].Kv.ModRevision)
		s.history = slices.Clone(s.history[half:])
	}
	s.history = append(s.history, e)
}

func (s *store) validate(o operation) error {
	switch {
	case o.Put != nil:
		if len(o.Put.Key) == 0 {
			return errEmptyKey
		}
		if o.Put.Lease != 0 && s.leases[int64(o.Put.Lease)] == nil {
			return errLeaseNotFound
		}
	case o.Range == nil && o.Delete == nil:
		return errUnknownOperation
	}
	return nil
}

// put sets a key at the given revision.
func (s *store) put(r *putRequest, revision int64) *putResponse {
	name := string(r.Key)
	previous, existed := s.keys[name]
	kv := keyValue{
		Key: r.Key, Value: r.Value, Lease: r.Lease, Version: previous.Version + 1,
		CreateRevision: previous.CreateRevision, ModRevision: jsonInt64(revision),
	}
	if !existed {
		kv.CreateRevision = kv.ModRevision
	}
	s.detachFromLease(previous)
	if l := s.leases[int64(r.Lease)]; l != nil {
		l.keys[name] = true
	}
	s.keys[name] = kv
	s.recordEvent(event{Kv: kv})
	return &putResponse{}
}

func (s *store) detachFromLease(kv keyValue) {
	if l := s.leases[int64(kv.Lease)]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// deleteRange deletes a range at the given revision.
func (s *store) deleteRange(r *deleteRangeRequest, revision int64) *deleteRangeResponse {
	found := s.keysInRange(r.Key, r.RangeEnd)
	for _, kv := range found {
		s.detachFromLease(kv)
		delete(s.keys, string(kv.Key))
		s.recordEvent(event{Type: "DELETE", Kv: keyValue{Key: kv.Key, ModRevision: jsonInt64(revision)}})
	}
	return &deleteRangeResponse{Deleted: jsonInt64(len(found))}
}

// apply executes the operations atomically; on an error it executes none. The
// revision grows by one if any key was written or deleted.
func (s *store) apply(operations []operation) ([]operationResponse, error) {
	for _, o := range operations {
		if err := s.validate(o); err != nil {
			return nil, err
		}
	}
	revision, written := s.revision+1, false
	responses := make([]operationResponse, 0, len(operations))
	for _, o := range operations {
		var response operationResponse
		switch {
		case o.Range != nil:
			response.Range = s.rangeKeys(o.Range)
		case o.Put != nil:
			response.Put, written = s.put(o.Put, revision), true
		default:
			response.Delete = s.deleteRange(o.Delete, revision)
			written = written || response.Delete.Deleted > 0
		}
		responses = append(responses, response)
	}
	if written {
		s.revision = revision
	}
	return responses, nil
}

// compareTargets holds, by the target of a comparison, the function that compares
// a stored key with it.
var compareTargets = map[string]func(kv keyValue, c comparison) int{
	"":        func(kv keyValue, c comparison) int { return cmp.Compare(kv.Version, c.Version) },
	"VERSION": func(kv keyValue, c comparison) int { return cmp.Compare(kv.Version, c.Version) },
	"CREATE":  func(kv keyValue, c comparison) int { return cmp.Compare(kv.CreateRevision, c.CreateRevision) },
	"MOD":     func(kv keyValue, c comparison) int { return cmp.Compare(kv.ModRevision, c.ModRevision) },
	"VALUE":   func(kv keyValue, c comparison) int { return bytes.Compare(kv.Value, c.Value) },
}

var compareResults = map[string]func(order int) bool{
	"":          func(order int) bool { return order == 0 },
	"EQUAL":     func(order int) bool { return order == 0 },
	"NOT_EQUAL": func(order int) bool { return order != 0 },
	"GREATER":   func(order int) bool { return order > 0 },
	"LESS":      func(order int) bool { return order < 0 },
}

func (s *store) evaluate(c comparison) (bool, error) {
	compare, matches := compareTargets[c.Target], compareResults[c.Result]
	if compare == nil || matches == nil {
		return false, fmt.Errorf("compare: unknown target %q or result %q", c.Target, c.Result)
	}
	kv, ok := s.keys[string(c.Key)]
	// As in etcd, comparing the value of a missing key fails whatever the result.
	if !ok && c.Target == "VALUE" {
		return false, nil
	}
	return matches(compare(kv, c)), nil
}

func (s *store) txn(r *txnRequest) (*txnResponse, error) {
	response := &txnResponse{Succeeded: true}
	for _, c := range r.Compare {
		matches, err := s.evaluate(c)
		if err != nil {
			return nil, err
		}
		response.Succeeded = response.Succeeded && matches
	}
	operations := r.Failure
	if response.Succeeded {
		operations = r.Success
	}
	var err error
	if response.Responses, err = s.apply(operations); err != nil {
		return nil, err
	}
	response.Header = s.header()
	return response, nil
}

// revokeLease deletes a lease and, atomically, its keys. It returns false if there
// is no such lease.
func (s *store) revokeLease(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	operations := make([]operation, 0, len(l.keys))
	for key := range l.keys {
		operations = append(operations, operation{Delete: &deleteRangeRequest{Key: []byte(key)}})
	}
	delete(s.leases, id)
	_, _ = s.apply(operations) // deletions always pass validation
	return true
}
