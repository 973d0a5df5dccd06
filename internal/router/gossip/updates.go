package gossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// update is the encoded form of a directory.Update. The JSON names are short
// since many updates share a datagram.
type update struct {
	ID              string `json:"i"`
	Revision        uint64 `json:"r"`
	Removed         bool   `json:"x,omitempty"`
	Service         string `json:"s,omitempty"`
	Address         string `json:"a,omitempty"`
	FailureDomain   string `json:"f,omitempty"`
	Slots           int    `json:"n,omitempty"`
	Draining        bool   `json:"l,omitempty"`
	ColdRemainingMS int64  `json:"c,omitempty"`
	Heartbeat       uint64 `json:"h,omitempty"`
	Incarnation     int64  `json:"b,omitempty"`
	Version         string `json:"v,omitempty"`
}

// IsUpdates reports whether a datagram holds changes of upstream registrations.
func IsUpdates(d []byte) bool { return len(d) > 0 && d[0] == updatesFormat }

// EncodeUpdates encodes changes of upstream registrations, several to a
// datagram.
func EncodeUpdates(updates []directory.Update) ([][]byte, error) {
	var datagrams [][]byte
	for _, u := range updates {
		r := update{ID: u.ID, Revision: u.Revision, Removed: u.Entry == nil}
		if e := u.Entry; e != nil {
			r.Service, r.Address, r.FailureDomain, r.Slots = e.Service, e.Address, e.FailureDomain, e.Slots
			r.Draining, r.ColdRemainingMS, r.Heartbeat, r.Incarnation = e.Draining, e.ColdRemaining.Milliseconds(), e.Heartbeat, e.Incarnation
			r.Version = e.Version
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode change of upstream %q: %w", u.ID, err)
		}
		last := len(datagrams) - 1
		if last < 0 || len(datagrams[last])+len(encoded)+1 > MaxDatagram {
			datagrams = append(datagrams, []byte{updatesFormat})
			last++
		}
		datagrams[last] = append(append(datagrams[last], encoded...), '\n')
	}
	return datagrams, nil
}

// DecodeUpdates decodes the changes in a datagram of a peer. IsUpdates must be
// true for d.
func DecodeUpdates(d []byte) ([]directory.Update, error) {
	var updates []directory.Update
	for line := range bytes.Lines(d[1:]) {
		var r update
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("decode change of an upstream: %w", err)
		}
		if r.ID == "" || r.Revision == 0 {
			return nil, errMalformed
		}
		u := directory.Update{ID: r.ID, Revision: r.Revision}
		if !r.Removed {
			u.Entry = &directory.Entry{
				ID: r.ID, Service: r.Service, Address: r.Address, FailureDomain: r.FailureDomain, Slots: r.Slots,
				Draining: r.Draining, ColdRemaining: time.Duration(r.ColdRemainingMS) * time.Millisecond,
				Heartbeat: r.Heartbeat, Revision: r.Revision, Incarnation: r.Incarnation, Version: r.Version,
			}
		}
		updates = append(updates, u)
	}
	return updates, nil
}
