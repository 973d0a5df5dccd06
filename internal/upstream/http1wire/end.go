package http1wire

import (
	"errors"
	"os"
	"syscall"
)

// EndedInOrder reports whether a peer ended a connection in order, after a read has
// returned io.EOF. writeErr is the result of the last write, which may have been ended by
// its deadline.
//
// The kernel reports a reset once, to a read or to a write. If a write gets it, reads
// return io.EOF as after an orderly end. A write gets EPIPE if the reset came after the
// orderly end, which lets a peer respond and close without reading the whole request.
func EndedInOrder(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, os.ErrDeadlineExceeded) || errors.Is(writeErr, syscall.EPIPE)
}
