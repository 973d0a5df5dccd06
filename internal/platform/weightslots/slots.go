package weightslots

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

// KeyPrefix is the prefix of the store keys of slots. The rest of a key is the
// number of the slot.
const KeyPrefix = "/hemlock/weights/"

const (
	// startTimeout is the time after the lease request within which the weight
	// load must start. The lease is longer than the interval by this time, so
	// that the slot stays taken for a whole interval after the start.
	startTimeout = 5 * time.Second
	// attemptsPerInterval is how often per interval a router without a slot tries
	// again. It is more than one since slots become free one by one.
	attemptsPerInterval = 4
)

// ErrNoFreeSlot reports that all slots are taken, or that the router's last
// attempt was too recent for another one.
var ErrNoFreeSlot = errors.New("no slot for loading weights is free")

// Store is the part of the key-value service that an Allocator uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]etcd.KeyValue, int64, error)
	Get(ctx context.Context, key string) (etcd.KeyValue, bool, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (bool, etcd.KeyValue, error)
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
}

// Slot permits one upstream to start loading weights.
type Slot struct {
	number   int
	deadline time.Time
}

// Number returns the number of the slot, from 0.
func (s Slot) Number() int { return s.number }

// Usable reports whether the weight load may still start. It must not if the
// router was paused for too long after it acquired the slot.
func (s Slot) Usable(now time.Time) bool { return now.Before(s.deadline) }

// Allocator acquires slots for one router. It must be used by one goroutine at a
// time.
type Allocator struct {
	store       Store
	writer      string
	attempts    int       // calls of createSlot so far; makes each written value unique
	nextAttempt time.Time // earliest time of the next attempt
}

// NewAllocator returns an allocator for the router with the id. A random part in
// the written values distinguishes them from those of an earlier process of the
// same router.
func NewAllocator(store Store, router string) *Allocator {
	return &Allocator{store: store, writer: router + " " + rand.Text()}
}

// Acquire takes a free slot or returns ErrNoFreeSlot. slots is the number of
// weight loads that may start per interval in the whole fleet. A slot is never
// released; it becomes free when its lease expires. If responses of the store are
// lost, a slot may stay taken without being used.
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

// freeSlots returns the numbers of the free slots, in an order that starts at a
// number derived from the router, so that routers seldom try the same slot. Taken
// slots with numbers above the limit count too, which happens after the limit is
// lowered: no slot is free while as many are taken as the limit allows.
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

// createSlot creates the key of a slot and reports whether it did. If the response
// is lost, it reads the key and compares the value.
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
