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

// Orders is what operators have written.
type Orders struct {
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
	// Orders reads what operators have written.
	Orders(ctx context.Context) (Orders, uint64, error)
	// Decode reads orders from the document of a peer's.
	Decode(document []byte) (Orders, error)
	// AwaitOrders reports whether operators wrote anything after a revision, and
	// returns once they did or after wait.
	AwaitOrders(ctx context.Context, after uint64, wait time.Duration) (changed bool, revision uint64, err error)
	// Upstreams lists the registered upstreams.
	Upstreams(ctx context.Context) ([]directory.Entry, uint64, error)
	// AwaitUpstreams returns the changes after a revision once there are any, or
	// none after wait.
	AwaitUpstreams(ctx context.Context, after uint64, wait time.Duration) ([]directory.Update, uint64, error)
	// Routers lists the registered routers: name and address for peers. Unless it
	// is to be fresh, the list may be some seconds old, and costs less.
	Routers(ctx context.Context, fresh bool) (map[string]string, error)
	// Lease starts a lease.
	Lease(ctx context.Context, lifetime time.Duration) (uint64, error)
	// Renew renews a lease; the error is ErrNoLease once it has ended.
	Renew(ctx context.Context, lease uint64) error
	// Register lists this router until the lease ends.
	Register(ctx context.Context, lease uint64, name, address string) error
	// Leave ends a lease.
	Leave(ctx context.Context, lease uint64) error
	// Calls returns the number of calls so far by name.
	Calls() map[string]int64
	// Received returns the bytes of all answers so far.
	Received() int64
}
