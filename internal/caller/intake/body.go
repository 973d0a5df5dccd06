package intake

import (
	"context"
	"errors"
	"io"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// firstSegmentBytes and segmentBytes are the sizes of the first segments of a body
	// and of the others. Small ones hold small bodies, large ones need few writes.
	firstSegmentBytes = 4 << 10
	segmentBytes      = 32 << 10
	// maxEmptyReads bounds consecutive reads without bytes and without an error.
	maxEmptyReads = 100
)

// connectionKey is the key of the connection's account in the context of its requests.
type connectionKey struct{}

// NewContext returns a context with the account of a connection.
func NewContext(ctx context.Context, c *Connection) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// FromContext returns the account of the connection of a request, nil without one.
func FromContext(ctx context.Context) *Connection {
	c, _ := ctx.Value(connectionKey{}).(*Connection)
	return c
}

// beginReading tells the account that a body of a length is being received, and returns
// the function for its end. That returns ErrYield if the request must be given up.
func (c *Connection) beginReading(length int64) (end func() error, err error) {
	if c == nil {
		return func() error { return nil }, nil
	}
	if err := c.beginBody(clock.Now()); err != nil {
		return nil, err
	}
	complete := func() error { return c.advance(clock.Now(), StateServing) }
	b, ok := c.peer.(ReceiveBuffer)
	roomy := c.account.Used() < int64(roomyShare*float64(c.account.limits.Bytes))
	if !ok || length >= 0 && length <= smallBodyBytes || !roomy || !c.TryReserve(Bodies, receiveBufferCost) {
		return complete, nil
	}
	b.SetLargeReceiveBuffer(true)
	return func() error {
		b.SetLargeReceiveBuffer(false)
		c.Release(Bodies, receiveBufferCost)
		return complete()
	}, nil
}

// ReceiveBuffer is implemented by peers whose receive buffer can be enlarged while a
// large body arrives.
type ReceiveBuffer interface {
	SetLargeReceiveBuffer(large bool)
}

// ReadSegments reads a body of a length, -1 if it is not known, in segments that are
// reserved before they are filled, so that it is held once and not copied while it grows.
// After ErrFull or ErrYield the request was not read to its end and is to be refused.
func (c *Connection) ReadSegments(r io.Reader, length int64) ([][]byte, error) {
	if length == 0 {
		return nil, nil
	}
	end, err := c.beginReading(length)
	if err != nil {
		return nil, err
	}
	segments, err := c.readSegments(r, length)
	return segments, c.endReading(end, err)
}

// endReading ends the reading of a body and returns its error.
func (c *Connection) endReading(end func() error, err error) error {
	endErr := end()
	if c != nil && c.yielding.Load() {
		return errors.Join(ErrYield, err)
	}
	if err != nil {
		return err
	}
	return endErr
}

func (c *Connection) readSegments(r io.Reader, length int64) ([][]byte, error) {
	var segments [][]byte
	total, reserved := int64(0), int64(0)
	for {
		size := int64(segmentBytes)
		if total < freeBodyBytes {
			size = firstSegmentBytes
		}
		if length > 0 {
			size = min(size, max(length-total, 1))
		}
		if need := total + size - freeBodyBytes - reserved; need > 0 {
			if err := c.Reserve(clock.Now(), Bodies, need); err != nil {
				return nil, err
			}
			reserved += need
		}
		segment := make([]byte, size)
		n, err := fill(r, segment)
		total += int64(n)
		if n > 0 {
			segments = append(segments, segment[:n])
		}
		if errors.Is(err, io.EOF) {
			return segments, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until b is full or an error occurs. Unlike io.ReadFull it returns io.EOF at
// the end of r.
func fill(r io.Reader, b []byte) (int, error) {
	n, empty := 0, 0
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err != nil {
			return n, err
		}
		if m > 0 {
			empty = 0
		} else if empty++; empty > maxEmptyReads {
			return n, io.ErrNoProgress
		}
	}
	return n, nil
}

// ReadAll is like ReadSegments, but reads a body into one buffer.
func (c *Connection) ReadAll(r io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	end, err := c.beginReading(length)
	if err != nil {
		return nil, err
	}
	body, err := c.readAll(r, length)
	return body, c.endReading(end, err)
}

// ReleaseBody releases a body of ReadAll that is not needed any more.
func (c *Connection) ReleaseBody(body []byte) {
	if cap(body) > freeBodyBytes {
		c.Release(Bodies, int64(cap(body)))
	}
}

func (c *Connection) readAll(r io.Reader, length int64) ([]byte, error) {
	size := int64(freeBodyBytes)
	if length > 0 {
		size = min(size, length)
	}
	buffer, reserved := make([]byte, 0, size), int64(0)
	for {
		if len(buffer) == cap(buffer) {
			size := 2 * int64(cap(buffer))
			if length > 0 {
				size = min(size, max(length, int64(cap(buffer))+1))
			}
			// The old buffer is held until it is copied.
			if err := c.Reserve(clock.Now(), Bodies, size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			c.Release(Bodies, reserved)
			buffer, reserved = grown, size
		}
		n, err := fill(r, buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
