package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

const (
	// A lease has a TTL of leaseTTL and is used for new records during its
	// first leaseSharing, so that every record is kept for at least 24 h.
	leaseTTL     = 25 * time.Hour
	leaseSharing = time.Hour
	// MaxSendDelay is the longest time between the start of the record's creation
	// and the sending of the call. If the process is paused for longer, the
	// caller has already been told that the outcome is unknown.
	MaxSendDelay = 10 * time.Second
	// MaxBodySize is the largest response body that is recorded, in bytes.
	MaxBodySize = 64 << 10
	// storeTimeout bounds one call to the store, which usually responds within
	// milliseconds.
	storeTimeout = time.Second
	// maxStoreAttempts bounds the calls that read back or retry a write whose
	// response was lost.
	maxStoreAttempts = 3
	// storeRetryAfter is the Retry-After time while the store is unavailable.
	storeRetryAfter = 2 * time.Second
)

var (
	// ErrOutcomeUnknown means that an earlier attempt with the key may have
	// run.
	ErrOutcomeUnknown = errors.New("an earlier call with this idempotency key may have been executed")
	// ErrKeyReused means that the key was used with a different request.
	ErrKeyReused = errors.New("the idempotency key was used with a different request")
	// ErrRecordNotCreated means that the record could not be created.
	ErrRecordNotCreated = errors.New("the record of the call could not be created")
	// ErrSendTooLate means that more than MaxSendDelay passed between creating
	// the record and sending the call.
	ErrSendTooLate = errors.New("too much time passed between the record and the sending of the call")

	errNoRevision = errors.New("the store returned no revision")
)

// KeyValue is an entry of the store.
type KeyValue struct {
	Value       []byte
	ModRevision int64
}

// Store is the key-value store. After an error, a write may or may not have
// taken effect.
type Store interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	// Create writes a key that does not exist, or returns the current entry.
	Create(ctx context.Context, key string, value []byte, lease int64) (done bool, current KeyValue, err error)
	// Swap writes a key whose last revision is modRevision, or returns the
	// current entry.
	Swap(ctx context.Context, key string, modRevision int64, value []byte, lease int64) (done bool, current KeyValue, err error)
	// GrantLease returns a lease. Its keys are removed when it expires.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
}

// Records creates the records of calls and writes their outcomes. It is safe
// for concurrent use.
type Records struct {
	store          Store
	mu             sync.Mutex
	lease          int64
	leaseGrantedAt time.Time
}

// New returns Records that are kept in store.
func New(store Store) *Records { return &Records{store: store} }

// Attempt is the permission to send a call. It is not safe for concurrent use.
type Attempt struct {
	records   *Records
	key       string
	record    record
	revision  int64
	startedAt time.Time
	finished  bool
}

// Begin creates the record of a call. It returns the attempt that may send the
// call, the response that an earlier attempt recorded, or an error with a
// verdict and an HTTP status.
func (r *Records) Begin(ctx context.Context, now time.Time, c Call) (*Attempt, *Response, error) {
	a := &Attempt{records: r, key: c.recordKey(), startedAt: now, record: record{State: stateStarted, Attempt: newAttemptID(), Hash: c.contentHash()}}
	current, err := a.createRecord(ctx, now)
	if err != nil {
		return nil, nil, recordNotCreated(err)
	}
	previous, err := decode(current.Value)
	if err != nil {
		// The record may be from another version of this program, so the
		// outcome of the call is unknown.
		return nil, nil, verdict.New(verdict.Unknown, err).WithStatus(http.StatusConflict)
	}
	switch {
	case previous.Attempt == a.record.Attempt:
		a.revision = current.ModRevision
		return a, nil, nil
	case previous.Hash != a.record.Hash:
		return nil, nil, verdict.New(verdict.NotRun, ErrKeyReused).WithStatus(http.StatusUnprocessableEntity)
	case previous.State == stateDone && previous.Response != nil:
		return nil, previous.Response, nil
	case previous.State == stateNotRun:
		return a.replaceRecord(ctx, now, current)
	}
	return nil, nil, outcomeUnknown()
}

func recordNotCreated(err error) error {
	return verdict.New(verdict.NotRun, fmt.Errorf("%w: %w", ErrRecordNotCreated, err)).
		WithStatus(http.StatusServiceUnavailable).WithRetryAfter(storeRetryAfter)
}

func outcomeUnknown() error {
	return verdict.New(verdict.Unknown, ErrOutcomeUnknown).WithStatus(http.StatusConflict)
}

// newAttemptID returns a unique random ID.
func newAttemptID() string {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}

// createRecord creates the record and returns the entry that is in the store
// afterwards.
func (a *Attempt) createRecord(ctx context.Context, now time.Time) (KeyValue, error) {
	lease, err := a.records.currentLease(ctx, now)
	if err != nil {
		return KeyValue{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ok, current, err := a.records.store.Create(ctx, a.key, a.record.encode(), lease)
	if err != nil {
		return a.readBack(ctx, lease, err)
	}
	if ok {
		return a.confirmWrite(ctx, lease, current)
	}
	return current, nil
}

// confirmWrite returns the entry after a successful write. If the store did not
// return a revision, it reads the entry back, since the final write needs the
// revision.
func (a *Attempt) confirmWrite(ctx context.Context, lease int64, current KeyValue) (KeyValue, error) {
	if current.ModRevision == 0 {
		return a.readBack(ctx, lease, errNoRevision)
	}
	current.Value = a.record.encode()
	return current, nil
}

// replaceRecord replaces the record of an earlier attempt that did not run.
func (a *Attempt) replaceRecord(ctx context.Context, now time.Time, previous KeyValue) (*Attempt, *Response, error) {
	lease, err := a.records.currentLease(ctx, now)
	if err != nil {
		return nil, nil, recordNotCreated(err)
	}
	swapCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ok, current, err := a.records.store.Swap(swapCtx, a.key, previous.ModRevision, a.record.encode(), lease)
	switch {
	case err != nil:
		current, err = a.readBack(ctx, lease, err)
	case ok:
		current, err = a.confirmWrite(ctx, lease, current)
	}
	if err != nil {
		return nil, nil, recordNotCreated(err)
	}
	if a.isOwn(current) {
		a.revision = current.ModRevision
		return a, nil, nil
	}
	// A concurrent attempt replaced the record first and may run.
	return nil, nil, outcomeUnknown()
}

// readBack determines whether a write whose response was lost took effect.
// After an error the attempt must not send the call: a delayed write may still
// create a record that stays "started", which is safe. If the write had no
// effect, the lease is dropped, since the store may have lost it.
func (a *Attempt) readBack(ctx context.Context, lease int64, writeErr error) (KeyValue, error) {
	ctx = context.WithoutCancel(ctx)
	for range maxStoreAttempts {
		tryCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		current, ok, err := a.records.store.Get(tryCtx, a.key)
		cancel()
		if err != nil {
			continue
		}
		if !ok || !a.isOwn(current) {
			a.records.dropLease(lease)
		}
		if !ok {
			return KeyValue{}, writeErr
		}
		return current, nil
	}
	return KeyValue{}, writeErr
}

func (a *Attempt) isOwn(current KeyValue) bool {
	r, err := decode(current.Value)
	return err == nil && r.Attempt == a.record.Attempt
}

// CheckSendDelay must be called immediately before the call is sent. It returns
// an error if the attempt has finished or more than MaxSendDelay has passed; the
// call must not be sent then, and is recorded as not run.
func (a *Attempt) CheckSendDelay(ctx context.Context, now time.Time) error {
	if !a.finished && elapsed(a.startedAt, now) <= MaxSendDelay {
		return nil
	}
	a.RecordNotRun(ctx, now)
	return verdict.New(verdict.NotRun, ErrSendTooLate).WithStatus(http.StatusServiceUnavailable).WithRetryAfter(storeRetryAfter)
}

// elapsed returns the time since start by the monotonic or the wall clock,
// whichever shows more: the monotonic clock stops while a host is suspended,
// and the wall clock may be set back.
func elapsed(start, now time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}

// RecordNotRun records that the call was not sent or did not run. The attempt
// cannot send the call afterwards. If the store is unavailable, the record stays
// "started", and a retry is told that the outcome is unknown.
func (a *Attempt) RecordNotRun(ctx context.Context, now time.Time) {
	a.finish(ctx, now, record{State: stateNotRun, Attempt: a.record.Attempt, Hash: a.record.Hash})
}

// RecordResponse records the response. The body is omitted if it exceeds
// MaxBodySize.
func (a *Attempt) RecordResponse(ctx context.Context, now time.Time, response Response) {
	if len(response.Body) > MaxBodySize {
		response.Body, response.TooLarge = nil, true
	}
	a.finish(ctx, now, record{State: stateDone, Attempt: a.record.Attempt, Hash: a.record.Hash, Response: &response})
}

// finish writes the final state of the record, even after the caller has
// disconnected. The write is conditional on the revision of this attempt, so
// that a delayed or repeated write has no effect on other attempts.
func (a *Attempt) finish(ctx context.Context, now time.Time, final record) {
	if a.finished {
		return
	}
	a.finished = true
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxStoreAttempts*storeTimeout)
	defer cancel()
	for range maxStoreAttempts {
		lease, err := a.records.currentLease(ctx, now)
		if err != nil {
			continue
		}
		tryCtx, cancelTry := context.WithTimeout(ctx, storeTimeout)
		_, _, err = a.records.store.Swap(tryCtx, a.key, a.revision, final.encode(), lease)
		cancelTry()
		if err == nil {
			return // written by this call or by an earlier one whose response was lost
		}
	}
}

// currentLease returns the shared lease for records that are written now, and
// grants a new one if needed.
func (r *Records) currentLease(ctx context.Context, now time.Time) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease != 0 && elapsed(r.leaseGrantedAt, now) < leaseSharing {
		return r.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := r.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, fmt.Errorf("lease for the records: %w", err)
	}
	r.lease, r.leaseGrantedAt = lease, now
	return lease, nil
}

// dropLease drops a lease that the store may have lost, so that the next record
// gets a new one.
func (r *Records) dropLease(lease int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = 0
	}
}
