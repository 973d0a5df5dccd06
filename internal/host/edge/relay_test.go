package edge

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
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
