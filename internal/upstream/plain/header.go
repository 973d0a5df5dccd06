package plain

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without its hop-by-hop fields: those of the
// standard and those that the Connection field names.
func EndToEnd(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(c, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopFields {
		delete(c, name)
	}
	return c
}
