package httpapi

import "net/http"

// AbortResponse closes the caller's connection, so that the caller sees that the response
// is incomplete. It panics with http.ErrAbortHandler unless the caller uses HTTP/1.0: the
// end of the connection then ends a complete response, and only a reset shows the
// difference.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
				// An error means that the connection is closed already.
				_ = l.SetLinger(0)
			}
			_ = c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
