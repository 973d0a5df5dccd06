package weights

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
)

// KeyPrefix is the prefix of the slots' keys in the store; the slot's number
// follows.
const KeyPrefix = "/hemlock/weights/"

const (
	// startTimeout is how long a slot may be used after its lease was requested. The
	// lease is that much longer than the interval, so that the slot stays taken
	// for a whole interval after the load has started.
	startTimeout = 5 * time.Second
	// attemptsPerInterval is the part of an interval after which a router looks for a
	// slot again; slots become free one by one.
	attemptsPerInterval = 4
)

// ErrNoFreeSlot reports that as many loads as allowed have started in the present
// interval, or that this router found so shortly before.
var ErrNoFreeSlot = errors.New("no slot for loading weights is free")

// Store is the part of the key-value service that slots need.
type Store interface {
	List(ctx context.Context, prefix string) ([]etcd.KeyValue, int64, error)
	Get(ctx context.Context, key string) (etcd.KeyValue, bool, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (bool, etcd.KeyValue, error)
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
}

// Slot allows one load of weights to start.
type Slot struct {
	number   int
	deadline time.Time
}

// Number returns the number of the slot, from 0.
func (s Slot) Number() int { return s.number }

// Usable reports whether the load may start now. A router that was paused after
// it took the slot must not use it.
func (s Slot) Usable(now time.Time) bool { return now.Before(s.deadline) }

// Allocator takes slots for one router; it must be used by one goroutine at a time.
type Allocator struct {
	store       Store
	writer      string
	attempts    int       // attempts so far, makes each value unique
	nextAttempt time.Time // no attempt before
}

// NewAllocator returns the slots of the fleet as seen by the router self. Values written
// by an earlier process of the same router are told apart by a random part.
func NewAllocator(store Store, router string) *Allocator {
	return &Allocator{store: store, writer: router + " " + rand.Text()}
}

// Acquire returns a slot, of which at most slots are given out in any interval in
// the whole fleet, or ErrNoFreeSlot. The slot is never released; its lease ends by
// itself. If responses of the store are lost, a slot may stay unused.
func (a *Allocator) Acquire(ctx context.Context, now time.Time, slots int, interval time.Duration) (Slot, error) {
	if now.Before(a.nextAttempt) {
		return Slot{}, ErrNoFreeSlot
	}
	a.nextAttempt = now.Add(interval / attemptsPerInterval)
	free, err := a.freeSlots(ctx, slots)
	if err != nil {
		return Slot{}, fmt.Errorf("weight slots: %w", err)
	}
	if len(free) == 0 {
		return Slot{}, ErrNoFreeSlot
	}
	lease, err := a.store.GrantLease(ctx, interval+startTimeout)
	if err != nil {
		return Slot{}, fmt.Errorf("weight slots: %w", err)
	}
	for _, number := range free {
		created, err := a.createSlot(ctx, number, lease)
		if err != nil {
			return Slot{}, fmt.Errorf("weight slots: %w", err)
		}
		if created {
			a.nextAttempt = now
			return Slot{number: number, deadline: now.Add(startTimeout)}, nil
		}
	}
	return Slot{}, ErrNoFreeSlot
}

// freeSlots returns the numbers of the slots that are not taken, from a number that
// depends on the router, so that routers seldom try the same one. None is free
// while as many are taken as allowed, even if their numbers are above the limit
// because that was lowered.
func (a *Allocator) freeSlots(ctx context.Context, slots int) ([]int, error) {
	list, _, err := a.store.List(ctx, KeyPrefix)
	if err != nil || len(list) >= slots {
		return nil, err
	}
	taken := map[string]bool{}
	for _, kv := range list {
		taken[strings.TrimPrefix(kv.Key(), KeyPrefix)] = true
	}
	first := int(xxhash.Sum64String(a.writer) % uint64(slots))
	var free []int
	for i := range slots {
		if number := (first + i) % slots; !taken[strconv.Itoa(number)] {
			free = append(free, number)
		}
	}
	return free, nil
}

// createSlot takes one slot. If the response is lost, the value that the slot holds
// decides.
func (a *Allocator) createSlot(ctx context.Context, number int, lease int64) (bool, error) {
	a.attempts++
	key := KeyPrefix + strconv.Itoa(number)
	value := a.writer + " " + strconv.Itoa(a.attempts)
	created, _, err := a.store.Create(ctx, key, []byte(value), lease)
	if !errors.Is(err, etcd.ErrUnavailable) {
		return created, err
	}
	kv, found, err := a.store.Get(ctx, key)
	return found && string(kv.Value()) == value, err
}
