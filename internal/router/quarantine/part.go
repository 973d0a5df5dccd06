package quarantine

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPartBytes limits the length of a Part, so that maxParts of them fit in one
	// datagram. A longer name is replaced by its hash.
	maxPartBytes = 40
	// maxParts limits the parts of a fact and of a quarantined set. A request can have
	// any number of parts.
	maxParts = 24
)

// Part names one part of the prompts of one service. Upstreams of another service
// may bear the same part.
type Part string

// NewPart returns the part of a service's prompts with the given name.
func NewPart(service, name string) Part {
	text := service + "/" + name
	if len(text) > maxPartBytes {
		text = "#" + strconv.FormatUint(xxhash.Sum64String(text), 16)
	}
	return Part(text)
}

// Name returns the name of the part without that of its service.
func (p Part) Name() string {
	_, name, found := strings.Cut(string(p), "/")
	if !found {
		return string(p)
	}
	return name
}

// NewParts returns the parts of a service's prompt, given the names of its parts, in
// ascending order and without duplicates.
func NewParts(service string, names []string) []Part {
	parts := make([]Part, len(names))
	for i, name := range names {
		parts[i] = NewPart(service, name)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// normalize returns the parts sorted and without duplicates.
func normalize(parts []Part) []Part {
	list := slices.Clone(parts)
	slices.Sort(list)
	return slices.Compact(list)
}

// setKey identifies a normalized set of parts.
func setKey(parts []Part) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(string(p))
		b.WriteByte('\n')
	}
	return b.String()
}

// promptID identifies the parts of a request.
type promptID uint64

// promptOf returns the promptID of normalized parts.
func promptOf(parts []Part) promptID {
	d := xxhash.New()
	for _, p := range parts {
		// Writing to a digest cannot fail.
		_, _ = d.WriteString(string(p))
		_, _ = d.Write([]byte{'\n'})
	}
	return promptID(d.Sum64())
}

// containsAll reports whether normalized parts include every part of a set.
func containsAll(parts, set []Part) bool {
	for _, p := range set {
		if _, found := slices.BinarySearch(parts, p); !found {
			return false
		}
	}
	return true
}

// intersects reports whether two sets have a part in common.
func intersects(a, b []Part) bool {
	return slices.ContainsFunc(a, func(p Part) bool { return slices.Contains(b, p) })
}
