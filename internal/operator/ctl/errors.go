package ctl

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
)

// Errors that commands return.
var (
	// ErrUnconfirmed reports that a change was written but too few routers
	// confirmed it in time.
	ErrUnconfirmed = errors.New("accepted, not yet in force")
	// ErrUnknownOutcome reports that the store's response was lost and it is
	// unknown whether the change was written.
	ErrUnknownOutcome = errors.New("the change may or may not have been written, check with `hemlockctl config show`")
	// ErrNoDocument reports that the store holds no configuration.
	ErrNoDocument = errors.New("no configuration in the store, create it with `hemlockctl config init`")
	// ErrUnknownName reports a name that the host list does not contain.
	ErrUnknownName = errors.New("not in the host list")
	// ErrNoHostList reports that a name cannot be checked without a host list.
	ErrNoHostList = errors.New("the host list is needed to check the name, use --hosts")
)

// ConflictError reports that the store's document is not the version that the
// change was based on, usually because another operator changed it. Nothing was
// written.
type ConflictError struct {
	base, current uint64
	changes       []fleetconfig.Change
}

// Base returns the version that the rejected change was based on, 0 for none.
func (e *ConflictError) Base() uint64 { return e.base }

// Current returns the version in the store.
func (e *ConflictError) Current() uint64 { return e.current }

// Changes returns how the store's document differs from the base.
func (e *ConflictError) Changes() []fleetconfig.Change { return e.changes }

// Error returns both versions and one line for each value that differs.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("conflict: the change is based on version %d, the store holds version %d", e.base, e.current)}
	if len(e.changes) > 0 {
		lines[0] += ", which differs by:"
	}
	for _, c := range e.changes {
		lines = append(lines, "  "+c.String())
	}
	return strings.Join(lines, "\n")
}

// Exit codes of hemlockctl; scripts depend on them.
const (
	exitFailed         = 1
	exitUnconfirmed    = 3
	exitUnknownOutcome = 4
	exitConflict       = 5
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var conflict *ConflictError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, ErrUnconfirmed):
		return exitUnconfirmed
	case errors.Is(err, ErrUnknownOutcome):
		return exitUnknownOutcome
	}
	return exitFailed
}
