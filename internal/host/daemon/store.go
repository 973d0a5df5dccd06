package daemon

import (
	"context"
	"expvar"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/request/idempotency"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
)

const (
	// storeTimeout bounds one call to the key-value service, which responds within
	// milliseconds when it is healthy.
	storeTimeout = time.Second
	// storeRateLimitWait bounds how long a call waits for the rate limit of store
	// calls.
	storeRateLimitWait = 500 * time.Millisecond
)

// newStore returns a client of the key-value service and publishes its counters in
// vars.
func newStore(s *settings.Settings, vars *expvar.Map) *etcd.Client {
	c := etcd.New(s.StoreURLs(),
		etcd.WithRateLimit(float64(s.StoreWritesPerSecond()), float64(s.StoreReadsPerSecond()), storeRateLimitWait),
		etcd.WithTimeout(storeTimeout))
	vars.Set("store", c.Counters())
	return c
}

// idempotencyStore adapts the client of the key-value service to package
// idempotency, which records non-idempotent calls.
type idempotencyStore struct{ *etcd.Client }

func idempotencyKeyValue(kv etcd.KeyValue) idempotency.KeyValue {
	return idempotency.KeyValue{Value: kv.Value(), ModRevision: kv.ModRevision()}
}

// Get reads the record at key and reports whether it exists.
func (s idempotencyStore) Get(ctx context.Context, key string) (idempotency.KeyValue, bool, error) {
	kv, found, err := s.Client.Get(ctx, key)
	return idempotencyKeyValue(kv), found, err
}

// Create writes a record unless the key exists. It reports whether it did and
// returns the record that the store holds afterwards.
func (s idempotencyStore) Create(ctx context.Context, key string, value []byte, lease int64) (bool, idempotency.KeyValue, error) {
	done, kv, err := s.Client.Create(ctx, key, value, lease)
	return done, idempotencyKeyValue(kv), err
}

// Swap replaces a record if it still has the given revision. It reports whether it
// did and returns the record that the store holds afterwards.
func (s idempotencyStore) Swap(ctx context.Context, key string, revision int64, value []byte, lease int64) (bool, idempotency.KeyValue, error) {
	done, kv, err := s.Client.Swap(ctx, key, revision, value, lease)
	return done, idempotencyKeyValue(kv), err
}

// claimStore adapts the client of the key-value service to package claim.
type claimStore struct{ *etcd.Client }

func claimKeyValue(kv etcd.KeyValue) claim.KeyValue {
	return claim.KeyValue{
		Key: kv.Key(), Value: kv.Value(), ModRevision: kv.ModRevision(),
		CreateRevision: kv.CreateRevision(), Lease: kv.Lease(),
	}
}

// Get reads the claim at key and reports whether it exists.
func (s claimStore) Get(ctx context.Context, key string) (claim.KeyValue, bool, error) {
	kv, found, err := s.Client.Get(ctx, key)
	return claimKeyValue(kv), found, err
}

// List returns the claims whose keys have the prefix, and the store's revision.
func (s claimStore) List(ctx context.Context, prefix string) ([]claim.KeyValue, int64, error) {
	list, revision, err := s.Client.List(ctx, prefix)
	claims := make([]claim.KeyValue, len(list))
	for i, kv := range list {
		claims[i] = claimKeyValue(kv)
	}
	return claims, revision, err
}

// Create writes a claim unless the key exists. It never reports the claim as the
// first one if the store holds no fleet configuration: routers claim only after the
// configuration was written, so such a store has lost its keys.
func (s claimStore) Create(ctx context.Context, key, marker string, value []byte, lease int64) (done, first bool, current claim.KeyValue, err error) {
	done, first, kv, err := s.CreateWithMarker(ctx, key, marker, configKey, value, lease)
	return done, first, claimKeyValue(kv), err
}

// Swap replaces a claim if it still has the given revision.
func (s claimStore) Swap(ctx context.Context, key, marker string, revision int64, value []byte, lease int64) (bool, claim.KeyValue, error) {
	done, kv, err := s.SwapWithMarker(ctx, key, marker, revision, value, lease)
	return done, claimKeyValue(kv), err
}
