package claim

import (
	"bytes"
	"context"
	"errors"
	"sort"
	"strings"
	"time"
)

var errStore = errors.New("store unavailable")

// storeFault is the fault that affects a call.
type storeFault int

const (
	faultNone storeFault = iota
	faultDown            // no effect
	faultLost            // takes effect, but the response is lost
	faultLate            // fails, but takes effect seconds later
)

// fakeStore is a key-value service with leases and a clock set by the test.
type fakeStore struct {
	now         time.Time
	revision    int64
	keys        map[string]KeyValue
	markers     map[string]int64 // revision of the last write
	leases      map[int64]time.Time
	nextFault   storeFault
	lateEffects []func()
	callCounts  map[string]int
}

func newFakeStore(now time.Time) *fakeStore {
	return &fakeStore{now: now, keys: map[string]KeyValue{}, markers: map[string]int64{}, leases: map[int64]time.Time{}, callCounts: map[string]int{}}
}

// advance sets the clock and expires leases.
func (s *fakeStore) advance(now time.Time) {
	s.now = now
	for id, until := range s.leases {
		if !now.Before(until) {
			s.expireLease(id)
		}
	}
}

func (s *fakeStore) expireLease(lease int64) {
	delete(s.leases, lease)
	for k, kv := range s.keys {
		if kv.Lease == lease {
			delete(s.keys, k)
		}
	}
}

// applyLate applies the effects of delayed calls.
func (s *fakeStore) applyLate() {
	late := s.lateEffects
	s.lateEffects = nil
	for _, effect := range late {
		effect()
	}
}

// perform runs one call under the current fault.
func (s *fakeStore) perform(name string, effect func()) error {
	s.callCounts[name]++
	switch s.nextFault {
	case faultDown:
		return errStore
	case faultLate:
		s.lateEffects = append(s.lateEffects, effect)
		return errStore
	case faultLost:
		effect()
		return errStore
	default:
		effect()
		return nil
	}
}

func (s *fakeStore) write(key string, value []byte, lease int64) (KeyValue, bool) {
	if _, ok := s.leases[lease]; !ok {
		return KeyValue{}, false
	}
	s.revision++
	kv := KeyValue{Key: key, Value: bytes.Clone(value), ModRevision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old, ok := s.keys[key]; ok {
		kv.CreateRevision = old.CreateRevision
	}
	s.keys[key] = kv
	return kv, true
}

func (s *fakeStore) Get(_ context.Context, key string) (kv KeyValue, ok bool, err error) {
	err = s.perform("get", func() { kv, ok = s.keys[key] })
	return kv, ok, err
}

func (s *fakeStore) List(_ context.Context, prefix string) (list []KeyValue, _ int64, err error) {
	err = s.perform("list", func() {
		for k, kv := range s.keys {
			if strings.HasPrefix(k, prefix) {
				list = append(list, kv)
			}
		}
		for k, revision := range s.markers {
			if strings.HasPrefix(k, prefix) {
				list = append(list, KeyValue{Key: k, ModRevision: revision})
			}
		}
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, s.revision, err
}

func (s *fakeStore) Create(_ context.Context, key, marker string, value []byte, lease int64) (done, first bool, kv KeyValue, err error) {
	var refused error
	err = s.perform("create", func() { done, first, kv, refused = s.put(key, marker, 0, value, lease) })
	return done, first, kv, errors.Join(err, refused)
}

func (s *fakeStore) Swap(_ context.Context, key, marker string, revision int64, value []byte, lease int64) (done bool, kv KeyValue, err error) {
	var refused error
	err = s.perform("swap", func() { done, _, kv, refused = s.put(key, marker, revision, value, lease) })
	return done, kv, errors.Join(err, refused)
}

// put writes the marker and a key, provided that the key is at the given
// revision.
func (s *fakeStore) put(key, marker string, revision int64, value []byte, lease int64) (done, first bool, kv KeyValue, err error) {
	if kv = s.keys[key]; kv.ModRevision != revision {
		return false, false, kv, nil
	}
	if kv, done = s.write(key, value, lease); !done {
		return false, false, kv, errors.New("lease not found")
	}
	first = s.markers[marker] == 0
	s.markers[marker] = s.revision
	return true, first, kv, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, revision int64) (done bool, err error) {
	err = s.perform("delete", func() {
		if done = s.keys[key].ModRevision == revision; done {
			s.revision++
			delete(s.keys, key)
		}
	})
	return done, err
}

func (s *fakeStore) DeleteUnlessExists(_ context.Context, key string, revision int64, other string) (done bool, err error) {
	err = s.perform("forget", func() {
		if _, exists := s.keys[other]; !exists && s.markers[key] == revision {
			delete(s.markers, key)
			done = true
		}
	})
	return done, err
}

func (s *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (id int64, err error) {
	err = s.perform("grant", func() {
		s.revision++
		id = s.revision
		s.leases[id] = s.now.Add(ttl)
	})
	return id, err
}

func (s *fakeStore) KeepAlive(_ context.Context, lease int64) (ttl time.Duration, err error) {
	err = s.perform("keepalive", func() {
		if _, ok := s.leases[lease]; ok {
			ttl = LeaseTTL
			s.leases[lease] = s.now.Add(ttl)
		}
	})
	return ttl, err
}

func (s *fakeStore) Revoke(_ context.Context, lease int64) error {
	return s.perform("revoke", func() { s.expireLease(lease) })
}

// performPending performs the queued call, if there is one, as Run would.
func (c *Claims) performPending() {
	select {
	case q := <-c.calls:
		c.results <- c.perform(context.Background(), q)
	default:
	}
}
