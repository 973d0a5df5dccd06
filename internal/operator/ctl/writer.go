package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/etcd"
)

// ConfigKey is the key of the configuration document in the store.
const ConfigKey = "/hemlock/config"

const (
	// storeRetryTimeout bounds a write with its retries. If the store is
	// unavailable for longer, it stays unknown whether the change was written.
	storeRetryTimeout = 15 * time.Second
	// storeRetryDelay is the delay between retries; it limits the load on an
	// overloaded store.
	storeRetryDelay = 250 * time.Millisecond
	// markBytes is the length of the random mark of a write in bytes.
	markBytes = 12
)

// Store is the part of the key-value service that hemlockctl uses.
type Store interface {
	Get(ctx context.Context, key string) (etcd.KeyValue, bool, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (bool, etcd.KeyValue, error)
	Swap(ctx context.Context, key string, modRevision int64, value []byte, lease int64) (bool, etcd.KeyValue, error)
}

// snapshot is the document as read from the store, with its revision.
type snapshot struct {
	document *fleetconfig.Document // nil if there is none
	revision int64                 // store revision of its last change
}

func (s snapshot) version() uint64 {
	if s.document == nil {
		return 0
	}
	return s.document.Version()
}

// readSnapshot reads the document from the store. A store without a document
// gives an empty snapshot.
func readSnapshot(ctx context.Context, store Store) (snapshot, error) {
	kv, found, err := store.Get(ctx, ConfigKey)
	if err != nil || !found {
		return snapshot{}, err
	}
	d, err := fleetconfig.Parse(kv.Value())
	if err != nil {
		return snapshot{}, fmt.Errorf("the store's document is faulty:\n%w", err)
	}
	return snapshot{d, kv.ModRevision()}, nil
}

// documentWriter replaces the document in the store. It retries for up to
// timeout, with retryDelay between attempts.
type documentWriter struct {
	store               Store
	timeout, retryDelay time.Duration
}

// write replaces base by next with a new version and mark. It repeats the same
// compare-and-swap while the response is lost, which is safe since at most one
// attempt can succeed and all attempts write the same text.
func (w documentWriter) write(ctx context.Context, base snapshot, next *fleetconfig.Document) (*fleetconfig.Document, error) {
	stamped, err := next.Stamp(base.version()+1, newMark())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	var lostErr error
	for {
		swapped, current, err := w.swap(ctx, base.revision, stamped.Text())
		switch {
		case swapped:
			return stamped, nil
		case err == nil:
			return stamped, resolveOutcome(base, stamped, current.Value(), lostErr != nil)
		case errors.Is(err, etcd.ErrUnavailable):
			lostErr = err
		case lostErr == nil:
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, lostErr)
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

// resolveOutcome determines, after a compare-and-swap that did not match, whether
// an earlier attempt wrote the document. It compares the mark and version of the
// store's current document with those of written. responseLost tells whether the
// response of an earlier attempt was lost.
func resolveOutcome(base snapshot, written *fleetconfig.Document, current []byte, responseLost bool) error {
	d, err := fleetconfig.Parse(current)
	if err != nil {
		return fmt.Errorf("%w: the store's document is faulty: %w", ErrUnknownOutcome, err)
	}
	if responseLost && d.Mark() == written.Mark() {
		return nil
	}
	conflict := &ConflictError{base.version(), d.Version(), fleetconfig.Diff(base.document, d)}
	// Each version is written at most once. A later version may be based on ours
	// or on another writer's document of the same version.
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
