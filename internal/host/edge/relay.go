package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// relayTimeout bounds a fetch of a peer's orders, so that one that is out of
	// reach delays a change by less than the store's own time-out.
	relayTimeout = 400 * time.Millisecond
	// maxRelayed bounds a compressed document that is passed on: a host with 10
	// Mbit/s sends it in 50 ms. A longer one is read from the store, whose link is
	// faster.
	maxRelayed = 64 << 10
	// maxDocument bounds a document after it was expanded; the store's values have
	// 1 MB at most.
	maxDocument = 4 << 20
	// maxFetches bounds the fetches that a router answers at once, since its link
	// also carries the traffic of callers. The others wait until their peers give
	// them up.
	maxFetches = 4
)

// errNotNewer means that a peer's orders are no newer than those in force here.
var errNotNewer = errors.New("the peer's orders are no newer")

// relay passes the operators' orders on to peers.
type relay struct {
	feed   *feed
	slots  chan struct{}
	client *http.Client

	mu       sync.Mutex
	document []byte
	revision uint64
	// packed is the compressed document, nil until a peer asks for it.
	packed []byte
}

func newRelay(f *feed) *relay {
	return &relay{
		feed:  f,
		slots: make(chan struct{}, maxFetches),
		// Fetches are rare, so that a kept connection would be idle for long.
		client: &http.Client{Timeout: relayTimeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: relayTimeout}).DialContext, DisableKeepAlives: true,
		}},
	}
}

// keep notes the orders in force.
func (r *relay) keep(document []byte, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !bytes.Equal(r.document, document) {
		r.packed = nil
	}
	r.document, r.revision = document, revision
}

// pack returns the compressed document and its revision.
func (r *relay) pack() ([]byte, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.packed == nil && len(r.document) > 0 {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, err := w.Write(r.document)
		if err := errors.Join(err, w.Close()); err != nil {
			return nil, 0, fmt.Errorf("compress orders: %w", err)
		}
		r.packed = b.Bytes()
	}
	return r.packed, r.revision, nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("expand orders: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocument))
	if err != nil {
		return nil, fmt.Errorf("expand orders: %w", err)
	}
	return document, nil
}

// FetchOrders answers a peer. It implements rpc.Relay.
func (r *relay) FetchOrders(ctx context.Context, _ *rpc.FetchOrdersRequest) (*rpc.FetchOrdersResponse, error) {
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the peer gave up")
	}
	// The document is at least as new as the mark that was read before it.
	age, known := r.feed.age(clock.Now())
	packed, revision, err := r.pack()
	if err != nil {
		return nil, err
	}
	if !known || len(packed) == 0 || len(packed) > maxRelayed {
		return nil, twirp.NewError(twirp.Unavailable, fmt.Sprintf("no orders to pass on: known %t, %d bytes", known, len(packed)))
	}
	return &rpc.FetchOrdersResponse{Document: packed, Revision: revision, AgeMs: uint32(age.Milliseconds()) + 1}, nil
}

// fetch reads the orders of the peer at an address. confirmed is an instant at
// which they were the newest: the peer states their age when it has the call.
func (r *relay) fetch(ctx context.Context, address string) (answer *rpc.FetchOrdersResponse, confirmed clock.Instant, err error) {
	sent := clock.Now()
	answer, err = rpc.NewRelayProtobufClient("http://"+address, r.client).FetchOrders(ctx, &rpc.FetchOrdersRequest{})
	if err != nil {
		return nil, 0, err
	}
	return answer, sent.Add(-time.Duration(answer.GetAgeMs()) * time.Millisecond), nil
}

// fetchOrders reads newer orders from a peer that has them, and reports whether
// they are in force now. A router that learns of a change so does not read it
// from the store, whose calls are limited and which may turn this router away.
func (e *Edge) fetchOrders(ctx context.Context) bool {
	address, read := e.orders.source()
	if address == "" {
		return false
	}
	answer, confirmed, err := e.relay.fetch(ctx, address)
	if err == nil && confirmed <= read {
		err = errNotNewer
	}
	var document []byte
	if err == nil {
		document, err = unpack(answer.GetDocument())
	}
	var orders Orders
	if err == nil {
		orders, err = e.store.Decode(document)
	}
	if err != nil {
		e.counters.Add("orders_not_fetched", 1)
		e.log.WithError(err).WithFields(logrus.Fields{"topic": feedName[digest.OperatorState], "peer": address}).Info("orders not fetched from peer")
		return false
	}
	e.counters.Add("orders_fetched", 1)
	e.adoptOrders(orders, confirmed, answer.GetRevision(), address)
	return true
}
