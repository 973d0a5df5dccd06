package digest

import (
	"encoding/binary"
	"errors"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// MaxDatagram is the largest datagram in bytes; it fits in one packet.
const MaxDatagram = 1400

// format is the first byte of a datagram, which changes with the layout.
const format = 1

// rowBytes is the size of one count: the hash of the upstream and the count.
const rowBytes = 10

// errMalformed means that a datagram is not one of this version.
var errMalformed = errors.New("malformed digest")

// Datagram returns this router's counts: format, name, boot, number, rows.
func (b *Board) Datagram() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	d := []byte{format, byte(len(b.self))}
	d = append(d, b.self...)
	d = binary.BigEndian.AppendUint64(d, b.boot)
	d = binary.BigEndian.AppendUint64(d, b.number)
	for key, n := range b.own {
		if len(d)+rowBytes > MaxDatagram {
			break
		}
		d = binary.BigEndian.AppendUint64(d, key)
		d = binary.BigEndian.AppendUint16(d, uint16(min(max(n, 0), 1<<16-1)))
	}
	return d
}

// Receive applies a datagram of another router. Datagrams of routers that are
// not listed and those that arrive out of order are ignored.
func (b *Board) Receive(now clock.Instant, d []byte) error {
	if len(d) < 2 || d[0] != format || len(d) < 2+int(d[1])+16 {
		return errMalformed
	}
	name := string(d[2 : 2+d[1]])
	d = d[2+len(name):]
	boot, number := binary.BigEndian.Uint64(d), binary.BigEndian.Uint64(d[8:])
	d = d[16:]
	if len(d)%rowBytes != 0 {
		return errMalformed
	}
	loads := make(map[uint64]int, len(d)/rowBytes)
	for ; len(d) > 0; d = d[rowBytes:] {
		loads[binary.BigEndian.Uint64(d)] = int(binary.BigEndian.Uint16(d[8:]))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	if p == nil || boot < p.boot || boot == p.boot && number <= p.number {
		return nil
	}
	p.boot, p.number, p.heard, p.loads = boot, number, now, loads
	return nil
}
