package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// OwnerPrefix is the prefix of the keys of claims, followed by the upstream id.
const OwnerPrefix = "/hemlock/owner/"

// MarkerPrefix is the prefix of the markers, followed by the upstream id. A
// marker has no lease and shows that the upstream has been claimed before. Its
// value is that of the last claim.
const MarkerPrefix = "/hemlock/claimed/"

const (
	// callTimeout bounds one call. Even if the first two of three renewals time
	// out, the third is sent before the lease ends.
	callTimeout = time.Second
	// listTimeout bounds a list of all claims, which can be up to 2 MB.
	listTimeout = 2 * time.Second
)

// KeyValue is a key of the store, with the revisions of its last write and its
// creation.
type KeyValue struct {
	Key                         string
	Value                       []byte
	ModRevision, CreateRevision int64
	Lease                       int64
}

// Store is the key-value service. After an error it is unknown whether a write
// took effect. Create and Swap return the current key, which is the written one
// if done is true. Both write the marker in the same transaction. Create sets
// first only if this is certainly the first claim of the key.
type Store interface {
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	Create(ctx context.Context, key, marker string, value []byte, lease int64) (done, first bool, current KeyValue, err error)
	Swap(ctx context.Context, key, marker string, modRevision int64, value []byte, lease int64) (done bool, current KeyValue, err error)
	Delete(ctx context.Context, key string, modRevision int64) (bool, error)
	// DeleteUnlessExists deletes a key at modRevision unless the key other exists.
	DeleteUnlessExists(ctx context.Context, key string, modRevision int64, other string) (bool, error)
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	Revoke(ctx context.Context, lease int64) error
}

// Holder is the value of a claim and identifies the router that made it.
type Holder struct {
	Router  string `json:"router"`
	Address string `json:"address"`
	BootID  string `json:"boot"`
}

// ParseHolder decodes the value of a claim.
func ParseHolder(value []byte) (Holder, error) {
	var h Holder
	if err := json.Unmarshal(value, &h); err != nil {
		return Holder{}, fmt.Errorf("claim value: %w", err)
	}
	return h, nil
}

func (h Holder) encode() []byte {
	// Marshaling a struct of strings cannot fail.
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
	opListMarkers
	opDeleteMarker
)

// call is a request to the store.
type call struct {
	op       operation
	upstream string
	revision int64 // of the claim or marker to swap or delete
	lease    int64
	sent     time.Time
}

// result is the outcome of a call.
type result struct {
	call
	done       bool // the write took effect or the key exists
	firstClaim bool // no claim of the upstream existed before
	kv         KeyValue
	list       []KeyValue
	lease      int64
	ttl        time.Duration
	err        error
}

// Run performs the calls that Step queues until ctx ends, and returns its error.
func (c *Claims) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-c.calls:
			// Only one call is in flight, so the send does not block.
			c.results <- c.perform(ctx, q)
			select {
			case c.wake <- struct{}{}:
			default:
			}
		}
	}
}

// Wake returns a channel that receives a value when a call has ended, so that
// Step can be called before the next tick.
func (c *Claims) Wake() <-chan struct{} { return c.wake }

// perform executes a call within its timeout.
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
		r.done, r.err = c.store.DeleteUnlessExists(ctx, MarkerPrefix+q.upstream, q.revision, key)
	}
	return r
}

func upstreamID(key string) string { return strings.TrimPrefix(key, OwnerPrefix) }
