package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleet"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
)

// ConfigKey is the key of the configuration document in the store.
const ConfigKey = "/hemlock/config"

const (
	// storeRetryTimeout is how long a lost response is looked for. A store that is
	// away longer leaves the outcome open.
	storeRetryTimeout = 15 * time.Second
	// storeRetryDelay separates the attempts, to spare a store that is overloaded.
	storeRetryDelay = 250 * time.Millisecond
	// markBytes is the length of a writer's mark in bytes.
	markBytes = 12
)

// Store is the part of the key-value service that the configuration needs.
type Store interface {
	Get(ctx context.Context, key string) (etcd.KeyValue, bool, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (bool, etcd.KeyValue, error)
	Swap(ctx context.Context, key string, modRevision int64, value []byte, lease int64) (bool, etcd.KeyValue, error)
}

// snapshot is the document as it was read from the store.
type snapshot struct {
	document *fleet.Document // nil if there is none
	revision int64           // store revision of its last change
}

func (s snapshot) version() uint64 {
	if s.document == nil {
		return 0
	}
	return s.document.Version()
}

// readSnapshot returns the document in the store.
func readSnapshot(ctx context.Context, store Store) (snapshot, error) {
	kv, found, err := store.Get(ctx, ConfigKey)
	if err != nil || !found {
		return snapshot{}, err
	}
	d, err := fleet.Parse(kv.Value())
	if err != nil {
		return snapshot{}, fmt.Errorf("the store's document is faulty:\n%w", err)
	}
	return snapshot{d, kv.ModRevision()}, nil
}

// documentWriter changes the document in the store.
type documentWriter struct {
	store               Store
	timeout, retryDelay time.Duration
}

// write stores next in place of base under a new version and mark. The same
// compare-and-swap is repeated while its response is lost, which is safe since
// at most one attempt can succeed and all write the same text.
func (w documentWriter) write(ctx context.Context, base snapshot, next *fleet.Document) (*fleet.Document, error) {
	stamped, err := next.Stamp(base.version()+1, newMark())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	var lastLoss error
	for {
		swapped, current, err := w.swap(ctx, base.revision, stamped.Text())
		switch {
		case swapped:
			return stamped, nil
		case err == nil:
			return stamped, resolveOutcome(base, stamped, current.Value(), lastLoss != nil)
		case errors.Is(err, etcd.ErrUnavailable):
			lastLoss = err
		case lastLoss == nil:
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, lastLoss)
		case <-time.After(w.retryDelay):
		}
	}
}

func (w documentWriter) swap(ctx context.Context, revision int64, text []byte) (bool, etcd.KeyValue, error) {
	if revision == 0 {
		return w.store.Create(ctx, ConfigKey, text, 0)
	}
	return w.store.Swap(ctx, ConfigKey, revision, text, 0)
}

// resolveOutcome decides by the mark and version of the store's document whether
// written took effect; lost says that the response of an earlier attempt was
// lost.
func resolveOutcome(base snapshot, written *fleet.Document, current []byte, responseLost bool) error {
	d, err := fleet.Parse(current)
	if err != nil {
		return fmt.Errorf("%w: the store's document is faulty: %w", ErrUnknownOutcome, err)
	}
	if responseLost && d.Mark() == written.Mark() {
		return nil
	}
	conflict := &ConflictError{base.version(), d.Version(), fleet.Diff(base.document, d)}
	// Each version is written once. A later one may follow ours or another.
	if responseLost && d.Version() > written.Version() {
		return fmt.Errorf("%w: %s", ErrUnknownOutcome, conflict.Error())
	}
	return conflict
}

func newMark() string {
	mark := make([]byte, markBytes)
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(mark)
	return hex.EncodeToString(mark)
}
