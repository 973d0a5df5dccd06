package quarantine

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPartBytes limits the length of a Part, so that a sighting fits in one
	// datagram. A longer name is replaced by its hash.
	maxPartBytes = 40
	// maxParts is the number of parts of one request that are considered: the first
	// maxFirstParts, which are shared most, and the last ones.
	maxParts      = 24
	maxFirstParts = 8
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

// Considered returns the indexes of the parts that are considered of a prompt with n
// parts that other requests may share.
func Considered(n int) []int {
	var indexes []int
	for i := range min(n, maxFirstParts) {
		indexes = append(indexes, i)
	}
	for i := max(maxFirstParts, n-maxParts+maxFirstParts); i < n; i++ {
		indexes = append(indexes, i)
	}
	return indexes
}

// NewParts returns the parts of a service's prompt that are considered, given the
// names of its parts in order.
func NewParts(service string, names []string) []Part {
	var parts []Part
	for _, i := range Considered(len(names)) {
		parts = append(parts, NewPart(service, names[i]))
	}
	return parts
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

// containsAll reports whether parts include every part of a set.
func containsAll(parts, set []Part) bool {
	for _, p := range set {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// intersect returns the parts of a that are also in b.
func intersect(a, b []Part) []Part {
	return slices.DeleteFunc(slices.Clone(a), func(p Part) bool { return !slices.Contains(b, p) })
}
