package weightslots

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
)

// fakeStore is a store with leases and a simulated clock. Each call advances the
// clock by delay and may lose its response.
type fakeStore struct {
	now            time.Time
	expires        []time.Time // by lease
	keys           map[string]etcd.KeyValue
	delay          func() time.Duration
	responseLost   func() bool
	competingValue string // value that another router writes just before each Create
}

func (s *fakeStore) advance() {
	s.now = s.now.Add(s.delay())
	for key, kv := range s.keys {
		if !s.now.Before(s.expires[kv.Lease()]) {
			delete(s.keys, key)
		}
	}
}

// respond returns the error of a call, which is ErrUnavailable if the response is
// lost.
func (s *fakeStore) respond() error {
	s.advance()
	if s.responseLost() {
		return fmt.Errorf("fake: %w", etcd.ErrUnavailable)
	}
	return nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (list []etcd.KeyValue, _ int64, err error) {
	s.advance()
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	return list, 1, s.respond()
}

func (s *fakeStore) Get(_ context.Context, key string) (etcd.KeyValue, bool, error) {
	s.advance()
	kv, found := s.keys[key]
	return kv, found, s.respond()
}

func (s *fakeStore) Create(_ context.Context, key string, value []byte, lease int64) (bool, etcd.KeyValue, error) {
	s.advance()
	if s.competingValue != "" {
		s.keys[key] = etcd.NewKeyValue(key, []byte(s.competingValue), 1, 1, lease)
	}
	kv, found := s.keys[key]
	live := s.now.Before(s.expires[lease])
	if !found && live {
		s.keys[key] = etcd.NewKeyValue(key, value, 1, 1, lease)
	}
	err := s.respond()
	if err == nil && !found && !live {
		err = etcd.ErrRejected
	}
	return err == nil && !found, kv, err
}

func (s *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (int64, error) {
	s.advance()
	s.expires = append(s.expires, s.now.Add(ttl))
	return int64(len(s.expires) - 1), s.respond()
}

// TestAtMostSlotsStartsPerInterval guards against more weight loads started in an
// interval than there are slots. This can come from slow store calls, lost
// responses, or routers paused between acquiring a slot and the start.
func TestAtMostSlotsStartsPerInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		interval := time.Duration(rapid.IntRange(1, 30).Draw(t, "interval")) * time.Second
		s := &fakeStore{now: time.Unix(1000, 0), keys: map[string]etcd.KeyValue{}}
		s.delay = func() time.Duration {
			return time.Duration(rapid.SampledFrom([]int{1, 1, 1, 50, 900, 2500}).Draw(t, "delay")) * time.Millisecond
		}
		s.responseLost = func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		var allocators []*Allocator
		for i := range 3 {
			allocators = append(allocators, NewAllocator(s, fmt.Sprint("router-", i)))
		}
		var starts []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "attempts") {
			allocator := rapid.SampledFrom(allocators).Draw(t, "router")
			slot, err := allocator.Acquire(context.Background(), s.now, slots, interval)
			if err != nil && !errors.Is(err, ErrNoFreeSlot) && !errors.Is(err, etcd.ErrUnavailable) && !errors.Is(err, etcd.ErrRejected) {
				t.Fatal(err)
			}
			s.advance() // pause before the start
			if err == nil && slot.Usable(s.now) {
				starts = append(starts, s.now)
			}
		}
		for i := range starts {
			if later := i + slots; later < len(starts) && starts[later].Sub(starts[i]) < interval {
				t.Fatalf("%d starts within %s: %v", slots+1, starts[later].Sub(starts[i]), starts[i:later+1])
			}
		}
	})
}

// TestFreeSlotsAreAcquired guards against free slots that cannot be acquired.
// Without faults, all slots can be acquired at once, and again after their leases
// expired.
func TestFreeSlotsAreAcquired(t *testing.T) {
	s := &fakeStore{now: time.Unix(1000, 0), keys: map[string]etcd.KeyValue{}}
	s.delay = func() time.Duration { return time.Millisecond }
	s.responseLost = func() bool { return false }
	allocator := NewAllocator(s, "router-1")
	acquire := func(slots int) error {
		_, err := allocator.Acquire(context.Background(), s.now, slots, 10*time.Second)
		return err
	}
	var errs []error
	for range 3 {
		errs = append(errs, acquire(2))
	}
	s.now = s.now.Add(3 * time.Second)
	errs = append(errs, acquire(3), acquire(3))
	s.now = s.now.Add(14 * time.Second)
	// After the limit is lowered, taken slots with higher numbers still count.
	errs = append(errs, acquire(1))
	if want := []error{nil, nil, ErrNoFreeSlot, nil, ErrNoFreeSlot, ErrNoFreeSlot}; !slices.Equal(errs, want) {
		t.Errorf("got %v, expected %v", errs, want)
	}
	s.now = s.now.Add(4 * time.Second)
	if err := acquire(1); err != nil {
		t.Error(err)
	}
	// After a lost Create response, the value of the key tells who created it.
	s.now = s.now.Add(time.Minute)
	calls := 0
	s.responseLost = func() bool { calls++; return calls == 3 }
	if err := acquire(1); err != nil || calls != 4 {
		t.Errorf("lost response: %v after %d calls", err, calls)
	}
	s.now = s.now.Add(time.Minute)
	calls, s.competingValue = 0, "router-2"
	if err := acquire(1); !errors.Is(err, ErrNoFreeSlot) || calls != 4 {
		t.Errorf("slot of another router after a lost response: %v after %d calls", err, calls)
	}
}
