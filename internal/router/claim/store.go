package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// OwnerPrefix is where the claims are kept in the store; the upstream's id follows.
const OwnerPrefix = "/hemlock/owner/"

// MarkerPrefix is where the store keeps, without a lease, that an upstream has
// been claimed at some time; the upstream's id follows. The value is that of
// the last claim.
const MarkerPrefix = "/hemlock/claimed/"

const (
	// callTimeout bounds one call; three renewals fit in a lease even if the
	// first two run into it.
	callTimeout = time.Second
	// listTimeout bounds a list of all claims, which is up to 2 MB.
	listTimeout = 2 * time.Second
)

// KeyValue is one key of the store with the revisions of its first and latest
// write.
type KeyValue struct {
	Key                         string
	Value                       []byte
	ModRevision, CreateRevision int64
	Lease                       int64
}

// Store is the key-value service. Any error leaves open whether a write took
// effect. Create and Swap return the present key: as written if done. Both
// write the marker too, and Create reports as first that it is surely the first
// claim ever made of the key.
type Store interface {
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	Create(ctx context.Context, key, marker string, value []byte, lease int64) (done, first bool, current KeyValue, err error)
	Swap(ctx context.Context, key, marker string, modRevision int64, value []byte, lease int64) (done bool, current KeyValue, err error)
	Delete(ctx context.Context, key string, modRevision int64) (bool, error)
	// DeleteUnless deletes a key at modRevision unless the key other exists.
	DeleteUnless(ctx context.Context, key string, modRevision int64, other string) (bool, error)
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	Revoke(ctx context.Context, lease int64) error
}

// Holder is the value of a claim.
type Holder struct {
	Router  string `json:"router"`
	Address string `json:"address"`
	Boot    string `json:"boot"`
}

// ParseHolder reads the value of a claim.
func ParseHolder(value []byte) (Holder, error) {
	var h Holder
	if err := json.Unmarshal(value, &h); err != nil {
		return Holder{}, fmt.Errorf("claim value: %w", err)
	}
	return h, nil
}

func (h Holder) encode() []byte {
	// A struct of strings always marshals.
	text, _ := json.Marshal(h)
	return text
}

// operation is the kind of a call to the store.
type operation int

const (
	opGrant operation = iota
	opKeepAlive
	opRevoke
	opList
	opGet
	opCreate
	opSwap
	opDelete
	opListMarkers  // lists the markers
	opDeleteMarker // deletes a marker
)

// call is one request to the store.
type call struct {
	op       operation
	upstream string
	revision int64 // of the claim to swap or delete, or of the marker to delete
	lease    int64
	sent     time.Time
}

// result is the outcome of a call.
type result struct {
	call
	done       bool // the write took effect or the key exists
	firstClaim bool // the create was the first of its key
	kv         KeyValue
	list       []KeyValue
	lease      int64
	ttl        time.Duration
	err        error
}

// Run performs the calls that Step asks for until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-c.calls:
			// One call is in flight at a time, so there is always room.
			c.results <- c.perform(ctx, q)
			select {
			case c.wake <- struct{}{}:
			default:
			}
		}
	}
}

// Wake returns a channel that receives when a call has ended and Step should be
// called without waiting for the next tick.
func (c *Claims) Wake() <-chan struct{} { return c.wake }

// perform executes one call.
func (c *Claims) perform(ctx context.Context, q call) result {
	timeout := callTimeout
	if q.op == opList || q.op == opListMarkers {
		timeout = listTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := result{call: q}
	key := OwnerPrefix + q.upstream
	switch q.op {
	case opGrant:
		r.lease, r.err = c.store.GrantLease(ctx, LeaseTTL)
	case opKeepAlive:
		r.ttl, r.err = c.store.KeepAlive(ctx, q.lease)
	case opRevoke:
		r.err = c.store.Revoke(ctx, q.lease)
	case opList:
		r.list, _, r.err = c.store.List(ctx, OwnerPrefix)
	case opGet:
		r.kv, r.done, r.err = c.store.Get(ctx, key)
	case opCreate:
		r.done, r.firstClaim, r.kv, r.err = c.store.Create(ctx, key, MarkerPrefix+q.upstream, c.holderValue, q.lease)
	case opSwap:
		r.done, r.kv, r.err = c.store.Swap(ctx, key, MarkerPrefix+q.upstream, q.revision, c.holderValue, q.lease)
	case opDelete:
		r.done, r.err = c.store.Delete(ctx, key, q.revision)
	case opListMarkers:
		r.list, _, r.err = c.store.List(ctx, MarkerPrefix)
	case opDeleteMarker:
		r.done, r.err = c.store.DeleteUnless(ctx, MarkerPrefix+q.upstream, q.revision, key)
	}
	return r
}

func upstreamID(key string) string { return strings.TrimPrefix(key, OwnerPrefix) }
