package gossip

import (
	"encoding/binary"
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Sections are optional parts at the end of a digest datagram: for each its kind, its
// length and its content, and after the last one the length of all. Datagrams with
// sections have flagSections, those without are as they were before sections existed.
// Receivers skip sections of unknown kinds, so that versions can be mixed.
const (
	// flagSections marks a datagram that ends with sections.
	flagSections byte = 2
	// sectionHeaderBytes is the size of the kind and the length of a section.
	sectionHeaderBytes = 3
	// sectionTrailerBytes is the size of the length of all sections.
	sectionTrailerBytes = 2
	// maxSectionBytes limits all sections, so that the loads of more than 50 upstreams
	// still fit in a datagram.
	maxSectionBytes = 700
)

// SetSection sets the content of the section of a kind, which the datagrams of the
// following rounds carry. Without content there is no section. A section that does not
// fit is left out.
func (g *State) SetSection(kind byte, content []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(content) == 0 {
		delete(g.sections, kind)
		return
	}
	if g.sections == nil {
		g.sections = map[byte][]byte{}
	}
	g.sections[kind] = content
}

// encodeSections returns the end of a datagram with all sections, and the flag that
// marks it. Both are empty without sections.
func (g *State) encodeSections() (end []byte, flag byte) {
	kinds := make([]byte, 0, len(g.sections))
	for kind := range g.sections {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		content := g.sections[kind]
		if len(end)+sectionHeaderBytes+len(content)+sectionTrailerBytes > maxSectionBytes {
			continue
		}
		end = append(end, kind)
		end = binary.BigEndian.AppendUint16(end, uint16(len(content)))
		end = append(end, content...)
	}
	if len(end) == 0 {
		return nil, 0
	}
	return binary.BigEndian.AppendUint16(end, uint16(len(end))), flagSections
}

// sharedContent returns the part of a datagram that is the same for all peers, and the
// flags that describe it. appendRest appends the loads and what follows them, up to a
// limit of bytes.
func (g *State) sharedContent(now clock.Instant, appendRest func(d []byte, limit int) []byte) (content []byte, flags byte) {
	end, flags := g.encodeSections()
	return append(appendRest(g.sharedPart(now), MaxDatagram-g.perPeerSize()-len(end)), end...), flags
}

// splitSections separates the sections from the rest of a datagram whose flags are
// given.
func splitSections(d []byte, flags byte) (rest []byte, sections map[byte][]byte, err error) {
	if flags&flagSections == 0 {
		return d, nil, nil
	}
	if len(d) < sectionTrailerBytes {
		return nil, nil, errMalformed
	}
	length := int(binary.BigEndian.Uint16(d[len(d)-sectionTrailerBytes:]))
	d = d[:len(d)-sectionTrailerBytes]
	if len(d) < length {
		return nil, nil, errMalformed
	}
	rest, d = d[:len(d)-length], d[len(d)-length:]
	sections = map[byte][]byte{}
	for len(d) > 0 {
		if len(d) < sectionHeaderBytes {
			return nil, nil, errMalformed
		}
		kind, n := d[0], int(binary.BigEndian.Uint16(d[1:]))
		d = d[sectionHeaderBytes:]
		if len(d) < n {
			return nil, nil, errMalformed
		}
		// The caller reuses the buffer of the datagram.
		sections[kind], d = slices.Clone(d[:n]), d[n:]
	}
	return rest, sections, nil
}

// Section returns the content of the section of a kind, empty if there is none.
func (m Message) Section(kind byte) []byte { return m.sections[kind] }

// Sender returns the name of the peer that sent the datagram, empty if the datagram was
// ignored.
func (m Message) Sender() string { return m.sender }
