package http1wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
)

// ReadResponse reads the head of the final response to a request with a method. It skips
// informational responses, whose heads and the final one have at most maxHead bytes
// together, as with net/http. Unlike net/http it rejects status lines, fields and lengths
// that violate RFC 9112, with ErrMalformed. The body reads from r; io.EOF means that the
// body is complete, or, if UntilClose, that the connection has ended. Trailers are checked
// and discarded.
func ReadResponse(r *bufio.Reader, method string, maxHead int) (*http.Response, error) {
	for left := maxHead; ; {
		head, err := readHead(r, left)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		response, err := parseHead(head, r, method, maxHead)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		left -= len(head)
	}
}

// parseHead parses a head that readHead has accepted and returns the response, whose
// body reads from r.
func parseHead(head []byte, r *bufio.Reader, method string, maxHead int) (*http.Response, error) {
	response, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)), &http.Request{Method: method})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch {
	case response.Body == http.NoBody:
	case len(response.TransferEncoding) > 0:
		response.Body = io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(r), trailer: section{reader: r, limit: maxHead}})
	case response.ContentLength >= 0:
		response.Body = io.NopCloser(&sizedBody{r, response.ContentLength})
	default:
		response.Body = io.NopCloser(r)
	}
	return response, nil
}

// UntilClose reports whether the end of the connection ends the body of a response.
func UntilClose(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// sizedBody is a body with a length.
type sizedBody struct {
	reader *bufio.Reader
	left   int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		err = io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks, which is complete once the trailer section is.
type chunkedBody struct {
	chunks  io.Reader
	trailer section
	// inTrailer is set once the last chunk is read, and err once the body has ended.
	inTrailer bool
	err       error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for b.err == nil {
		if b.inTrailer {
			b.err = b.readTrailer()
			break
		}
		n, err := b.chunks.Read(p)
		if b.inTrailer = errors.Is(err, io.EOF); !b.inTrailer {
			b.err = err
		}
		if n > 0 || len(p) == 0 {
			// The trailer section may arrive later.
			return n, b.err
		}
	}
	return 0, b.err
}

// readTrailer returns io.EOF if the trailer section is valid.
func (b *chunkedBody) readTrailer() error {
	err := b.trailer.fields(func([]byte) {})
	b.trailer.text = nil
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}
