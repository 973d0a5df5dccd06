package edge

import (
	"context"
	"errors"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// ErrCompacted means that the store no longer has the changes since a revision;
// the state must be read whole.
var ErrCompacted = errors.New("history was compacted")

// ErrNoLease means that a lease has ended.
var ErrNoLease = errors.New("lease has ended")

// OperatorState is what operators have written.
type OperatorState struct {
	// Table is the newest configuration, nil if there is none yet.
	Table *route.Table
	// Evacuated are the failure domains that are out of service.
	Evacuated map[string]bool
	// Document is the encoded form that Store.Decode reads.
	Document []byte
}

// Store is the platform's store, seen as what a router needs. Revisions order
// all changes. An error of a read leaves nothing done; one of a write leaves
// open whether it was done.
type Store interface {
	// ReadOperatorState reads what operators have written.
	ReadOperatorState(ctx context.Context) (OperatorState, uint64, error)
	// DecodeOperatorState reads orders from the document of a peer's.
	DecodeOperatorState(document []byte) (OperatorState, error)
	// WatchOperatorState reports whether operators wrote anything after a revision, and
	// returns once they did or after wait.
	WatchOperatorState(ctx context.Context, after uint64, wait time.Duration) (changed bool, revision uint64, err error)
	// ListUpstreams lists the registered upstreams.
	ListUpstreams(ctx context.Context) ([]directory.Entry, uint64, error)
	// WatchUpstreams returns the changes after a revision once there are any, or
	// none after wait.
	WatchUpstreams(ctx context.Context, after uint64, wait time.Duration) ([]directory.Update, uint64, error)
	// ListRouters lists the registered routers: name and address for peers. Unless it
	// is to be fresh, the list may be some seconds old, and costs less.
	ListRouters(ctx context.Context, fresh bool) (map[string]string, error)
	// GrantLease starts a lease.
	GrantLease(ctx context.Context, lifetime time.Duration) (uint64, error)
	// RenewLease renews a lease; the error is ErrNoLease once it has ended.
	RenewLease(ctx context.Context, lease uint64) error
	// RegisterRouter lists this router until the lease ends.
	RegisterRouter(ctx context.Context, lease uint64, name, address string) error
	// RevokeLease ends a lease.
	RevokeLease(ctx context.Context, lease uint64) error
	// CallCounts returns the number of calls so far by name.
	CallCounts() map[string]int64
	// ReceivedBytes returns the bytes of all answers so far.
	ReceivedBytes() int64
}
