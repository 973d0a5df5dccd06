package gossip

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// TestUpdates guards against changes that are lost or altered in transit, and
// against datagrams that don't fit in a packet.
func TestUpdates(t *testing.T) {
	var sent []directory.Update
	for i := range 40 {
		u := directory.Update{ID: fmt.Sprint("engine-", i), Revision: uint64(i + 1)}
		if i%3 > 0 {
			u.Entry = &directory.Entry{
				ID: u.ID, Service: "drafter", Address: "10.1.64.30:8348", FailureDomain: "dalton-a", Slots: 64, Draining: i%3 == 1,
				ColdRemaining: 2980 * time.Millisecond, Heartbeat: 3, Revision: u.Revision, Incarnation: 1781627426161,
			}
		}
		sent = append(sent, u)
	}
	datagrams, err := EncodeUpdates(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received []directory.Update
	for _, d := range datagrams {
		if len(d) > MaxDatagram || !IsUpdates(d) {
			t.Errorf("datagram of %d bytes, IsUpdates %t", len(d), IsUpdates(d))
		}
		updates, err := DecodeUpdates(d)
		if err != nil {
			t.Fatal(err)
		}
		received = append(received, updates...)
	}
	if !reflect.DeepEqual(received, sent) {
		t.Errorf("received %v, want %v", received, sent)
	}
}

// FuzzUpdates guards against datagrams that crash a router.
func FuzzUpdates(f *testing.F) {
	f.Add([]byte{updatesFormat, '{', '}'})
	f.Fuzz(func(_ *testing.T, content []byte) {
		if IsUpdates(content) {
			// Malformed datagrams must return errors and not panic.
			_, _ = DecodeUpdates(content)
		}
	})
}
