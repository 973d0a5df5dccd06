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
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
)

const (
	// relayTimeout limits a fetch from a peer. It is shorter than the timeout of a
	// store call, so that an unreachable peer delays a change by less than that.
	relayTimeout = 400 * time.Millisecond
	// maxCompressedBytes limits the compressed documents that are relayed: a host
	// with 10 Mbit/s sends one in 50 ms. Larger ones are read from the store,
	// whose link is faster.
	maxCompressedBytes = 64 << 10
	// maxDocumentBytes limits a decompressed document; values in the store have
	// at most 1 MB.
	maxDocumentBytes = 4 << 20
	// maxResponseBytes limits a peer's response: the compressed document and some
	// fields of a few bytes.
	maxResponseBytes = maxCompressedBytes + 1<<10
	// maxFetches limits the concurrent responses of a router, since its link also
	// carries the traffic of callers. Further fetches wait until their callers
	// time out.
	maxFetches = 4
)

// errTooLong is returned for a document above its limit.
var errTooLong = errors.New("operator state exceeds the size limit")

// errNotNewer is returned when a peer's operator state is no newer than the
// active one.
var errNotNewer = errors.New("operator state of the peer is no newer")

// operatorStateRelay serves the operator state to peers and fetches it from them.
type operatorStateRelay struct {
	tracker    *topicTracker
	fetchSlots chan struct{}
	client     *http.Client

	mu       sync.Mutex
	document []byte
	revision uint64
	// compressed is the compressed document, nil until a peer fetches it.
	compressed []byte
}

func newOperatorStateRelay(t *topicTracker) *operatorStateRelay {
	return &operatorStateRelay{
		tracker:    t,
		fetchSlots: make(chan struct{}, maxFetches),
		// Fetches are rare, so a persistent connection would be idle most of the
		// time.
		client: &http.Client{Timeout: relayTimeout, Transport: limitedTransport{http1wire.Strict(&http.Transport{
			DialContext: (&net.Dialer{Timeout: relayTimeout}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxControlBytes,
		})}},
	}
}

// limitedTransport fails responses that are longer than maxResponseBytes. The
// generated client reads whatever arrives.
type limitedTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.next.RoundTrip(r)
	if err == nil {
		httpresponse.LimitBody(res, maxResponseBytes)
	}
	return res, err
}

// setDocument stores the encoded operator state that is active.
func (r *operatorStateRelay) setDocument(document []byte, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !bytes.Equal(r.document, document) {
		r.compressed = nil
	}
	r.document, r.revision = document, revision
}

// compressedDocument returns the compressed document and its revision.
func (r *operatorStateRelay) compressedDocument() ([]byte, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.compressed == nil && len(r.document) > 0 {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, err := w.Write(r.document)
		if err := errors.Join(err, w.Close()); err != nil {
			return nil, 0, fmt.Errorf("compress operator state: %w", err)
		}
		r.compressed = b.Bytes()
	}
	return r.compressed, r.revision, nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress operator state: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress operator state: %w", err)
	}
	if len(document) > maxDocumentBytes {
		return nil, errTooLong
	}
	return document, nil
}

// FetchOrders returns the operator state to a peer. It implements rpc.Relay.
func (r *operatorStateRelay) FetchOrders(ctx context.Context, _ *rpc.FetchOrdersRequest) (*rpc.FetchOrdersResponse, error) {
	select {
	case r.fetchSlots <- struct{}{}:
		defer func() { <-r.fetchSlots }()
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the peer gave up")
	}
	// Reading the confirmation's age before the document ensures that the
	// document is at least as new as the age says.
	age, known := r.tracker.age(clock.Now())
	compressed, revision, err := r.compressedDocument()
	if err != nil {
		return nil, err
	}
	if !known || len(compressed) == 0 || len(compressed) > maxCompressedBytes {
		return nil, twirp.NewError(twirp.Unavailable, fmt.Sprintf("no orders to pass on: known %t, %d bytes", known, len(compressed)))
	}
	return &rpc.FetchOrdersResponse{Document: compressed, Revision: revision, AgeMs: uint32(age.Milliseconds()) + 1}, nil
}

// fetchFrom reads the operator state from the peer at address. The state was the
// newest at confirmed, which is calculated from the time before the call since
// the peer determines the age during the call.
func (r *operatorStateRelay) fetchFrom(ctx context.Context, address string) (response *rpc.FetchOrdersResponse, confirmed clock.Instant, err error) {
	sent := clock.Now()
	response, err = rpc.NewRelayProtobufClient("http://"+address, r.client).FetchOrders(ctx, &rpc.FetchOrdersRequest{})
	if err != nil {
		return nil, 0, err
	}
	return response, sent.Add(-time.Duration(response.GetAgeMs()) * time.Millisecond), nil
}

// fetchOperatorState reads a newer operator state from the peer that announced
// it, and reports whether it is now active. This avoids a read from the store,
// whose call rate is limited and which may reject this router.
func (e *Edge) fetchOperatorState(ctx context.Context) bool {
	address, lastRead := e.operatorStateTracker.newerSource()
	if address == "" {
		return false
	}
	response, confirmed, err := e.relay.fetchFrom(ctx, address)
	if err == nil && confirmed <= lastRead {
		err = errNotNewer
	}
	var document []byte
	if err == nil {
		document, err = decompress(response.GetDocument())
	}
	var state OperatorState
	if err == nil {
		state, err = e.store.DecodeOperatorState(document)
	}
	if err != nil {
		e.counters.Add("orders_not_fetched", 1)
		e.log.WithError(err).WithFields(logrus.Fields{"topic": topicName[gossip.OperatorState], "peer": address}).Info("operator state not fetched from peer")
		return false
	}
	e.counters.Add("orders_fetched", 1)
	e.applyOperatorState(state, confirmed, response.GetRevision(), address)
	return true
}
