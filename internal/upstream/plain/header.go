package plain

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields are the fields that belong to one connection (RFC 9110, 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the fields that belong to one
// connection, named in the standard or by the sender in Connection.
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
