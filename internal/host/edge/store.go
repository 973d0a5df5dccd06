package edge

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rollout"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// ErrCompacted is returned when the store no longer has the changes after a
// revision, so that the whole state must be read.
var ErrCompacted = errors.New("history was compacted")

// ErrConflict is returned when a write did not take effect, since what it depends on has
// changed.
var ErrConflict = errors.New("the store holds another state")

// ErrNoLease is returned when a lease has expired.
var ErrNoLease = errors.New("lease has expired")

// ErrNotReader is returned when the reading of a list ends because other routers of the
// fleet read it.
var ErrNotReader = errors.New("other routers of the fleet read the list")

// OperatorState is the configuration and the evacuations written by operators.
type OperatorState struct {
	// Table is the newest configuration, nil if there is none yet or it is invalid.
	Table *route.Table
	// InvalidConfig states why the newest configuration is invalid, nil if it is
	// not.
	InvalidConfig error
	// Evacuated is the set of evacuated failure domains.
	Evacuated map[string]bool
	// Rollouts are the orders to move services to another version.
	Rollouts []rollout.Order
	// Document is the encoded form, which Store.DecodeOperatorState decodes.
	Document []byte
}

// RouterList is what routers have stored for each other.
type RouterList struct {
	// Addresses holds the peer addresses of the registered routers by name.
	Addresses map[string]string
	// Quarantine is the document that SaveQuarantine stored last, nil if there is
	// none.
	Quarantine []byte
	// Rollouts are the records of roll-outs that WriteRollout stored last.
	Rollouts []rollout.Record
}

// Store is the part of the platform's store that a router uses. Revisions order
// all changes. A failed read has no effect; a failed write may or may not have
// taken effect.
type Store interface {
	// ReadOperatorState returns the operator state and its revision.
	ReadOperatorState(ctx context.Context) (OperatorState, uint64, error)
	// DecodeOperatorState decodes a document that was fetched from a peer.
	DecodeOperatorState(document []byte) (OperatorState, error)
	// WatchOperatorState waits for a change after a revision, at most for wait.
	// It reports whether there was one, and the revision that the result is up to
	// date with.
	WatchOperatorState(ctx context.Context, after uint64, wait time.Duration) (changed bool, revision uint64, err error)
	// ListUpstreams returns the registered upstreams and the revision of the
	// list. Before each page but the first it calls next, and ends with ErrNotReader
	// if that returns false.
	ListUpstreams(ctx context.Context, next func() bool) ([]directory.Entry, uint64, error)
	// WatchUpstreams waits for changes after a revision, at most for wait. It
	// returns them, none after wait, and the revision that they lead up to.
	WatchUpstreams(ctx context.Context, after uint64, wait time.Duration) ([]directory.Update, uint64, error)
	// ListRouters returns the registered routers and the saved quarantine. Unless
	// fresh is set, the list may be a few seconds old, which costs less.
	ListRouters(ctx context.Context, fresh bool) (RouterList, error)
	// SaveQuarantine stores a document that ListRouters returns from then on.
	SaveQuarantine(ctx context.Context, document []byte) error
	// WriteRollout writes the state of a roll-out if the order and the record are still
	// those that w names, and returns the record with its revision. Otherwise it returns
	// ErrConflict with the record in the store, whose order is empty if there is none.
	WriteRollout(ctx context.Context, w rollout.Write) (rollout.Record, error)
	// GrantLease creates a lease and returns its ID.
	GrantLease(ctx context.Context, lifetime time.Duration) (uint64, error)
	// RenewLease renews a lease. It returns ErrNoLease if the lease has expired.
	RenewLease(ctx context.Context, lease uint64) error
	// RegisterRouter lists this router until the lease ends.
	RegisterRouter(ctx context.Context, lease uint64, name, address string) error
	// RevokeLease ends a lease.
	RevokeLease(ctx context.Context, lease uint64) error
	// CallCounts returns the number of calls so far by path.
	CallCounts() map[string]int64
	// InvalidEntries returns the number of entries so far that could not be decoded
	// and were ignored.
	InvalidEntries() int64
	// ReceivedBytes returns the total size of all responses so far.
	ReceivedBytes() int64
}
