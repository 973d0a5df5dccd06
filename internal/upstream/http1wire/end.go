package http1wire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

// EndOfConnection returns the error of a body that the end of its connection has ended:
// io.EOF if the server ended it in order, otherwise io.ErrUnexpectedEOF with the cause. It
// ends the write in progress; lastWrite waits for that and returns its error.
func EndOfConnection(c net.Conn, lastWrite func() error) error {
	// An error means that the connection is closed already.
	_ = c.SetWriteDeadline(past)
	if err := lastWrite(); !endedInOrder(err) {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
	return io.EOF
}

// endedInOrder reports whether a peer ended a connection in order, after a read has
// returned io.EOF. writeErr is the result of the last write, which may have been ended by
// its deadline.
//
// The kernel reports a reset once, to a read or to a write. If a write gets it, reads
// return io.EOF as after an orderly end. A write gets EPIPE if the reset came after the
// orderly end, which lets a peer respond and close without reading the whole request.
func endedInOrder(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, os.ErrDeadlineExceeded) || errors.Is(writeErr, syscall.EPIPE)
}
