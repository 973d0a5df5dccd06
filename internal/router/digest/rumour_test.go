package digest

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// TestRumours guards against changes of upstreams that are lost or altered on
// the way, and against datagrams that do not fit in a packet.
func TestRumours(t *testing.T) {
	var told []directory.Update
	for i := range 40 {
		u := directory.Update{ID: fmt.Sprint("engine-", i), Revision: uint64(i + 1)}
		if i%3 > 0 {
			u.Entry = &directory.Entry{
				ID: u.ID, Service: "drafter", Address: "10.1.64.30:8348", FailureDomain: "dalton-a", Slots: 64, Leaving: i%3 == 1,
				ColdFor: 2980 * time.Millisecond, Heartbeat: 3, Revision: u.Revision, Born: 1781627426161,
			}
		}
		told = append(told, u)
	}
	datagrams, err := Rumours(told)
	if err != nil {
		t.Fatal(err)
	}
	var heard []directory.Update
	for _, d := range datagrams {
		if len(d) > MaxDatagram || !IsRumours(d) {
			t.Errorf("datagram of %d bytes, rumours %t", len(d), IsRumours(d))
		}
		updates, err := ReadRumours(d)
		if err != nil {
			t.Fatal(err)
		}
		heard = append(heard, updates...)
	}
	if !reflect.DeepEqual(heard, told) {
		t.Errorf("heard %v, want %v", heard, told)
	}
}

// FuzzRumours guards against datagrams that crash a router.
func FuzzRumours(f *testing.F) {
	f.Add([]byte{rumourFormat, '{', '}'})
	f.Fuzz(func(_ *testing.T, content []byte) {
		if IsRumours(content) {
			// Malformed datagrams are errors; nothing may panic.
			_, _ = ReadRumours(content)
		}
	})
}
