package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Watch calls deliver, on the caller's goroutine, for each change of a key with
// the prefix, starting at startRevision or, if that is 0, with the next change.
// It returns only on failure: with ErrWatchTimeout if nothing arrived within the
// watch timeout, and with ErrCompacted if startRevision no longer exists. To
// continue without a gap, the caller watches again from the last event's
// revision plus one.
func (c *Client) Watch(ctx context.Context, prefix string, startRevision int64, deliver func(Event)) error {
	if err := c.waitForToken(ctx, "watch"); err != nil {
		return err
	}
	endpointIndex := c.endpointIndex.Load()
	err := c.watch(ctx, endpointIndex, watchRequest{Create: watchCreateRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: startRevision, ProgressNotify: true,
	}}, deliver)
	if errors.Is(err, ErrUnavailable) && ctx.Err() == nil {
		c.counters.add("watch", countFailures, 1)
		c.failOver(endpointIndex)
	}
	return fmt.Errorf("watch: %w", err)
}

func (c *Client) watch(ctx context.Context, endpointIndex int64, request watchRequest, deliver func(Event)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Until the service has confirmed the watch, a timeout means that the service
	// is unavailable.
	creationTimer := time.AfterFunc(c.timeout, func() { cancel(ErrUnavailable) })
	defer creationTimer.Stop()
	idleTimer := time.AfterFunc(c.watchTimeout, func() { cancel(ErrWatchTimeout) })
	defer idleTimer.Stop()
	idleTimer.Stop()
	response, err := c.post(ctx, c.watchClient, "watch", endpointIndex, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return checkStatus(response.StatusCode, body)
	}
	reader := &watchReader{body: response.Body, client: c}
	decoder := json.NewDecoder(reader)
	for {
		var m watchResponse
		reader.remaining = maxWatchMessageBytes
		if err := decoder.Decode(&m); err != nil {
			return watchError(ctx, err)
		}
		creationTimer.Stop()
		idleTimer.Stop()
		c.recordContact()
		if err := m.deliverEvents(deliver); err != nil {
			return err
		}
		idleTimer.Reset(c.watchTimeout)
	}
}

// deliverEvents calls deliver for each event of one message.
func (m watchResponse) deliverEvents(deliver func(Event)) error {
	switch {
	case m.Error != nil:
		return newStreamError(m.Error)
	case m.Result.CompactRevision > 0:
		return ErrCompacted
	case m.Result.Canceled:
		return fmt.Errorf("%w: watch cancelled: %s", ErrUnavailable, m.Result.CancelReason)
	}
	for _, e := range m.Result.Events {
		deliver(NewEvent(e.KV.keyValue(), e.Type == "DELETE"))
	}
	return nil
}

// watchError returns the reason for the end of a watch's stream.
func watchError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func newStreamError(e *streamError) error {
	return fmt.Errorf("%w: %s", ErrUnavailable, e.Message)
}

// maxWatchMessageBytes limits one message of a watch. The service limits a value to
// 1.5 MB.
const maxWatchMessageBytes = 4 << 20

// errMessageTooLong means that a message exceeds maxWatchMessageBytes.
var errMessageTooLong = errors.New("message of the watch exceeds the size limit")

// watchReader counts the bytes that a watch receives and limits each message.
type watchReader struct {
	body   io.Reader
	client *Client
	// remaining is how many bytes of the current message may still be read.
	remaining int
}

// Read implements io.Reader.
func (r *watchReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLong
	}
	n, err := r.body.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	r.client.counters.add("watch", countReceived, n)
	return n, err
}
