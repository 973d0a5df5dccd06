package edge

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/flood"
)

// TestRelayedDocument guards against documents that are altered in transit, that
// are relayed before they were confirmed, or that crash a router if damaged.
func TestRelayedDocument(t *testing.T) {
	tracker := newTopicTracker(gossip.OperatorState, 0, 0)
	r := newOperatorStateRelay(tracker)
	document := []byte(strings.Repeat(`{"route":"a"}`, 1000))
	r.setDocument(document, 7)
	fetch := func() (*rpc.FetchOrdersResponse, error) {
		return r.FetchOrders(context.Background(), &rpc.FetchOrdersRequest{})
	}
	if _, err := fetch(); err == nil {
		t.Error("operator state was relayed before it was confirmed")
	}
	tracker.recordRead(gossip.Confirmation{Hash: 1, Confirmed: clock.Now()})
	response, err := fetch()
	if err != nil {
		t.Fatal(err)
	}
	got, err := decompress(response.GetDocument())
	if err != nil || !bytes.Equal(got, document) || response.GetRevision() != 7 || response.GetAgeMs() > 1000 {
		t.Errorf("%d bytes of revision %d, %d ms old, %v", len(got), response.GetRevision(), response.GetAgeMs(), err)
	}
	for _, damaged := range [][]byte{nil, []byte("x"), response.GetDocument()[:len(response.GetDocument())/2]} {
		if _, err := decompress(damaged); err == nil {
			t.Errorf("%d damaged bytes were decompressed without an error", len(damaged))
		}
	}
}

// TestPeerFlood guards against a peer whose bytes without end take the memory of the
// host or keep a fetch beyond its timeout, and against a document that is cut
// without an error because it is too long.
func TestPeerFlood(t *testing.T) {
	// maxFloodBytes is a quarter of the smallest hosts, which have 184 MB.
	const maxFloodBytes = 46 << 20
	server, err := flood.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	cases, err := flood.Cases()
	if err != nil {
		t.Fatal(err)
	}
	r := newOperatorStateRelay(newTopicTracker(gossip.OperatorState, 0, 0))
	for _, c := range cases {
		server.SetCase(c)
		begin := time.Now()
		peak := flood.PeakHeap(func() {
			if _, _, err := r.fetchFrom(context.Background(), server.Address()); err == nil {
				t.Errorf("%s: a response without end was read", c.Name())
			}
		})
		if elapsed := time.Since(begin); peak > maxFloodBytes || elapsed > relayTimeout+time.Second {
			t.Errorf("%s: %d MB in %v", c.Name(), peak>>20, elapsed)
		}
	}
	long := newOperatorStateRelay(newTopicTracker(gossip.OperatorState, 0, 0))
	long.setDocument(make([]byte, maxDocumentBytes+1), 1)
	compressed, _, err := long.compressedDocument()
	if err != nil {
		t.Fatal(err)
	}
	if document, err := decompress(compressed); err == nil {
		t.Errorf("%d of %d bytes were taken for the whole document", len(document), maxDocumentBytes+1)
	}
}

// TestFetchLimit guards against a router that sends many documents at once over
// its link: further fetches wait, and end without a response when the peer
// cancels them.
func TestFetchLimit(t *testing.T) {
	r := newOperatorStateRelay(newTopicTracker(gossip.OperatorState, 0, 0))
	for range maxFetches {
		r.fetchSlots <- struct{}{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := r.FetchOrders(ctx, &rpc.FetchOrdersRequest{}); err == nil {
		t.Error("a fetch beyond the limit was answered")
	}
}
