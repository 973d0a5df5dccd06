package rollout

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// digestVersion changes with the layout: version, name length, name, boot ID,
	// sequence number, order, service hash, elapsed ms, stage, flags, number of rows, rows.
	digestVersion = 1
	digestFixed   = 2 + 4*8 + 4 + 2 + 2
	rowBytes      = 6 * 4
	// flagBad states that the version is bad, and flagRecorded that the store holds the
	// stage.
	flagBad      = 1
	flagRecorded = 2
	// unknownElapsed states that the sender does not know when the order was given.
	unknownElapsed = math.MaxUint32
)

var errMalformed = errors.New("malformed digest of a roll-out")

// Digests returns one digest for each active roll-out, of at most limit bytes.
func (c *Controller) Digests(now clock.Instant, boot, sequence uint64, limit int) [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list [][]byte
	for _, service := range slices.Sorted(maps.Keys(c.services)) {
		if p := c.services[service]; p.active(now) && !p.withdrawn {
			list = append(list, c.digest(now, p, boot, sequence, limit))
		}
	}
	return list
}

func (c *Controller) digest(now clock.Instant, p *progress, boot, sequence uint64, limit int) []byte {
	d := []byte{digestVersion, byte(len(c.self))}
	d = append(d, c.self...)
	d = binary.BigEndian.AppendUint64(d, boot)
	d = binary.BigEndian.AppendUint64(d, sequence)
	d = binary.BigEndian.AppendUint64(d, p.order.ID())
	d = binary.BigEndian.AppendUint64(d, xxhash.Sum64String(p.order.Service))
	elapsed := uint32(unknownElapsed)
	if p.begun != 0 {
		elapsed = uint32(min(max(0, now.Sub(p.begun).Milliseconds()), unknownElapsed-1))
	}
	d = binary.BigEndian.AppendUint32(d, elapsed)
	flags := byte(0)
	if p.bad {
		flags |= flagBad
	}
	if p.record.Order.ID() == p.order.ID() && p.record.Stage == p.stage {
		flags |= flagRecorded
	}
	d = append(d, byte(p.stage), flags)
	keys := slices.SortedFunc(maps.Keys(p.own), func(a, b rowKey) int {
		// Failures must not be left out.
		return cmp.Or(cmp.Compare(p.own[b].failed+p.own[b].slow, p.own[a].failed+p.own[a].slow), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.route, b.route))
	})
	keys = keys[:min(len(keys), max(0, (limit-len(d)-2)/rowBytes))]
	d = binary.BigEndian.AppendUint16(d, uint16(len(keys)))
	for _, key := range keys {
		n := p.own[key]
		for _, v := range []uint32{key.route, key.upstream, uint32(n.total), uint32(n.failed), uint32(n.timed), uint32(n.slow)} {
			d = binary.BigEndian.AppendUint32(d, v)
		}
	}
	return d
}

// Merge applies a digest of a peer. It reports whether a version is known to be bad, or a
// roll-out to have ended, only now.
func (c *Controller) Merge(now clock.Instant, d []byte) (news bool, err error) {
	if len(d) < digestFixed || d[0] != digestVersion || len(d) < digestFixed+int(d[1]) {
		return false, errMalformed
	}
	name := string(d[2 : 2+int(d[1])])
	d = d[2+len(name):]
	boot, sequence := binary.BigEndian.Uint64(d), binary.BigEndian.Uint64(d[8:])
	order, service := binary.BigEndian.Uint64(d[16:]), binary.BigEndian.Uint64(d[24:])
	elapsed, stage, flags := binary.BigEndian.Uint32(d[32:]), Stage(d[36]), d[37]
	count := int(binary.BigEndian.Uint16(d[38:]))
	d = d[40:]
	if len(d) != count*rowBytes || stage > RolledBack {
		return false, errMalformed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.find(service)
	if p == nil || p.order.ID() != order || name == c.self {
		return false, nil
	}
	if elapsed != unknownElapsed {
		begun := now.Add(-time.Duration(elapsed) * time.Millisecond)
		if p.begun == 0 || begun < p.begun {
			p.begun = begun
		}
	}
	if earlier, known := p.peers[name]; (known || len(p.peers) < maxPeers) && (!known || earlier.boot != boot || earlier.sequence < sequence) {
		p.peers[name] = peerTally{boot, sequence, decodeRows(d)}
	}
	if flags&flagRecorded != 0 && stage >= p.stage && (p.record.Order.ID() != order || p.record.Stage == Running) {
		// The revision stays unknown; a write of this router is refused once.
		p.record.Order, p.record.Stage = p.order, stage
	}
	if stage != Running && p.stage == Running {
		c.end(now, p, stage, "told by "+name)
		news = true
	}
	if flags&flagBad != 0 && !p.bad && p.stage == Running {
		p.bad, p.reason = true, "found by "+name
		c.note(now, p, "bad version", p.reason)
		news = true
	}
	return news, nil
}

func (c *Controller) find(serviceHash uint64) *progress {
	for name, p := range c.services {
		if xxhash.Sum64String(name) == serviceHash {
			return p
		}
	}
	return nil
}

func decodeRows(d []byte) tally {
	rows := tally{}
	for ; len(d) >= rowBytes; d = d[rowBytes:] {
		v := [6]int{}
		for i := range v {
			v[i] = int(binary.BigEndian.Uint32(d[4*i:]))
		}
		rows[rowKey{uint32(v[0]), uint32(v[1])}] = counts{v[2], v[3], v[4], v[5]}
	}
	return rows
}
