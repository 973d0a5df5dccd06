package daemon

import (
	"context"
	"expvar"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/settings"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
	"github.com/hemlockcroft/hemlockcroft/internal/request/once"
	"github.com/hemlockcroft/hemlockcroft/internal/router/claim"
)

const (
	// storeTimeout bounds one call to the key-value service, which answers in
	// milliseconds when it is well.
	storeTimeout = time.Second
	// storeWait is how long a call waits for its turn within the call budget.
	storeWait = 500 * time.Millisecond
)

// newStore returns the client of the key-value service with its counters in vars.
func newStore(s *settings.Settings, vars *expvar.Map) *etcd.Client {
	c := etcd.New(s.Store(),
		etcd.WithRateLimit(float64(s.StoreWrites()), float64(s.StoreReads()), storeWait),
		etcd.WithTimeout(storeTimeout))
	vars.Set("store", c.Counters())
	return c
}

// onceStore adapts the client of the key-value service to records of
// non-idempotent calls.
type onceStore struct{ *etcd.Client }

func record(kv etcd.KeyValue) once.KeyValue {
	return once.KeyValue{Value: kv.Value(), ModRevision: kv.ModRevision()}
}

// Get reads a record.
func (s onceStore) Get(ctx context.Context, key string) (once.KeyValue, bool, error) {
	kv, found, err := s.Client.Get(ctx, key)
	return record(kv), found, err
}

// Create writes a record that must not exist.
func (s onceStore) Create(ctx context.Context, key string, value []byte, lease int64) (bool, once.KeyValue, error) {
	done, kv, err := s.Client.Create(ctx, key, value, lease)
	return done, record(kv), err
}

// Swap replaces a record.
func (s onceStore) Swap(ctx context.Context, key string, revision int64, value []byte, lease int64) (bool, once.KeyValue, error) {
	done, kv, err := s.Client.Swap(ctx, key, revision, value, lease)
	return done, record(kv), err
}

// claimStore adapts the client of the key-value service.
type claimStore struct{ *etcd.Client }

func claimed(kv etcd.KeyValue) claim.KeyValue {
	return claim.KeyValue{
		Key: kv.Key(), Value: kv.Value(), ModRevision: kv.ModRevision(),
		CreateRevision: kv.CreateRevision(), Lease: kv.Lease(),
	}
}

// Get returns a claim.
func (s claimStore) Get(ctx context.Context, key string) (claim.KeyValue, bool, error) {
	kv, found, err := s.Client.Get(ctx, key)
	return claimed(kv), found, err
}

// List returns the claims below a prefix.
func (s claimStore) List(ctx context.Context, prefix string) ([]claim.KeyValue, int64, error) {
	list, revision, err := s.Client.List(ctx, prefix)
	claims := make([]claim.KeyValue, len(list))
	for i, kv := range list {
		claims[i] = claimed(kv)
	}
	return claims, revision, err
}

// Create makes a claim that must not exist. In a store without the fleet
// configuration it is never the first: routers become ready and claim only after
// the configuration was written, so such a store has lost its keys.
func (s claimStore) Create(ctx context.Context, key, marker string, value []byte, lease int64) (done, first bool, current claim.KeyValue, err error) {
	done, first, kv, err := s.CreateWithMarker(ctx, key, marker, configKey, value, lease)
	return done, first, claimed(kv), err
}

// Swap replaces a claim.
func (s claimStore) Swap(ctx context.Context, key, marker string, revision int64, value []byte, lease int64) (bool, claim.KeyValue, error) {
	done, kv, err := s.SwapWithMarker(ctx, key, marker, revision, value, lease)
	return done, claimed(kv), err
}
