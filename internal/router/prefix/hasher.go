package prefix

import (
	"github.com/cespare/xxhash/v2"
)

// Hasher computes the hashes of all prefixes of a prompt in one pass, without the text
// of each. Package platform feeds it the model and the parts of a prompt.
type Hasher struct{ digest *xxhash.Digest }

// NewHasher returns a Hasher of the empty prompt for a model.
func NewHasher(model string) Hasher {
	d := xxhash.New()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(model)
	return Hasher{d}
}

// Add appends a part and returns the hash of the prefix that ends with it: HashOf the
// model and the parts so far, each after a slash.
func (h Hasher) Add(part string) Hash {
	_, _ = h.digest.WriteString("/")
	_, _ = h.digest.WriteString(part)
	return Hash(h.digest.Sum64())
}

// Key returns the placement key of the prefix so far: rendezvous.Key of its text, whose
// hash ends with a zero byte.
func (h Hasher) Key() uint64 {
	d := *h.digest
	_, _ = d.Write([]byte{0})
	return d.Sum64()
}
