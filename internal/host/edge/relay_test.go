package edge

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// TestRelayedDocument guards against documents that change on the way, that are
// passed on before their state is known, or that crash a router if damaged.
func TestRelayedDocument(t *testing.T) {
	f := newFeed(digest.OperatorState, 0, 0)
	r := newRelay(f)
	document := []byte(strings.Repeat(`{"route":"a"}`, 1000))
	r.keep(document, 7)
	ask := func() (*rpc.FetchOrdersResponse, error) {
		return r.FetchOrders(context.Background(), &rpc.FetchOrdersRequest{})
	}
	if _, err := ask(); err == nil {
		t.Error("orders that were never confirmed are passed on")
	}
	f.set(digest.Confirmation{Hash: 1, Confirmed: clock.Now()})
	answer, err := ask()
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpack(answer.GetDocument())
	if err != nil || !bytes.Equal(got, document) || answer.GetRevision() != 7 || answer.GetAgeMs() > 1000 {
		t.Errorf("%d bytes of revision %d, %d ms old, %v", len(got), answer.GetRevision(), answer.GetAgeMs(), err)
	}
	for _, damaged := range [][]byte{nil, []byte("x"), answer.GetDocument()[:len(answer.GetDocument())/2]} {
		if _, err := unpack(damaged); err == nil {
			t.Errorf("%d damaged bytes are taken for a document", len(damaged))
		}
	}
}

// TestRelayWaits guards against a router whose link carries many documents at
// once: a peer waits for its turn, and leaves without an answer if it gives up.
func TestRelayWaits(t *testing.T) {
	r := newRelay(newFeed(digest.OperatorState, 0, 0))
	for range maxFetches {
		r.slots <- struct{}{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := r.FetchOrders(ctx, &rpc.FetchOrdersRequest{}); err == nil {
		t.Error("a fetch beyond the limit is answered")
	}
}
