package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// bodyBytes is the length of a body that the usual limits permit.
	bodyBytes = 4_000_000
	// missingBytes is by how much most bodies stop short of their end.
	missingBytes = 10
	// wholeEvery is the number of bodies of which one is sent to its end.
	wholeEvery = 10
	// pieceBytes and piecePause are the size of a piece and the time between two.
	pieceBytes = 50_000
	piecePause = 20 * time.Millisecond
	// largeChunkBytes and smallChunkBytes are the sizes of chunks of chunked bodies.
	largeChunkBytes = 500_000
	smallChunkBytes = 16
	// longHeadBytes is a head far above the usual limit and below that of net/http.
	longHeadBytes = 900_000
	// endlessBytes bounds what is sent of a head without end.
	endlessBytes = 8 << 20
	// pipelinedRequests is the number of requests that are sent without reading a
	// response.
	pipelinedRequests = 2000
	writeBytes        = 64 << 10
)

// body is shared by all connections.
var body = bytes.Repeat([]byte("x"), bodyBytes)

// Patterns returns all patterns. series is the number of connections that are opened
// and closed in series by each of seriesWorkers.
func Patterns(series int) []Pattern {
	return []Pattern{
		{name: "long_heads", conns: 600, send: sendLongHead, keepOpen: true},
		{name: "endless_heads", conns: 400, rounds: 3, send: sendEndlessHead},
		{name: "many_fields", conns: 400, send: sendManyFields, keepOpen: true},
		{name: "empty_lines", conns: 400, rounds: 3, send: sendEmptyLines},
		{name: "bodies", conns: 150, send: sendBody, keepOpen: true},
		{name: "bodies_in_pieces", conns: 150, send: sendPieces, keepOpen: true},
		{name: "large_chunks", conns: 150, send: sendChunks(largeChunkBytes), keepOpen: true},
		{name: "small_chunks", conns: 80, send: sendChunks(smallChunkBytes), keepOpen: true},
		{name: "slow_readers", conns: 900, slowReader: true, send: sendLong, keepOpen: true},
		{name: "slow_stream_readers", conns: 900, slowReader: true, send: sendStream, keepOpen: true},
		{name: "pipelined", conns: 900, slowReader: true, send: sendPipelined, keepOpen: true},
		{name: "silent", conns: 1500, send: sendNothing, keepOpen: true},
		{name: "unread_bodies", conns: 1200, send: sendUnreadBody, keepOpen: true},
		{name: "series", conns: seriesWorkers, rounds: series, send: sendHalfHead},
	}
}

// seriesWorkers is the number of connections that are opened at a time in series.
const seriesWorkers = 16

func write(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// repeat writes a text until n bytes are written.
func repeat(c net.Conn, text string, n int) error {
	block := []byte(strings.Repeat(text, max(1, writeBytes/len(text))))
	for ; n > 0; n -= len(block) {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
	return nil
}

func sendLongHead(_ context.Context, t Target, c net.Conn, id string) error {
	if err := write(c, t.Post(id)+"X-Long: "); err != nil {
		return err
	}
	return repeat(c, strings.Repeat("x", 100), longHeadBytes)
}

func sendEndlessHead(_ context.Context, t Target, c net.Conn, id string) error {
	if err := write(c, t.Post(id)); err != nil {
		return err
	}
	return repeat(c, "X-Field: value\r\n", endlessBytes)
}

// sendManyFields sends very short fields with different names, which take many times
// their length once they are decoded.
func sendManyFields(_ context.Context, t Target, c net.Conn, id string) error {
	var b strings.Builder
	b.WriteString(t.Post(id))
	for i := range 100_000 {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return write(c, b.String())
}

func sendEmptyLines(_ context.Context, _ Target, c net.Conn, _ string) error {
	return repeat(c, "\r\n", endlessBytes)
}

// length returns how much of its body a connection sends.
func length(id string) int {
	var connection, round int
	if _, err := fmt.Sscanf(id, "crowd-%d-%d", &connection, &round); err == nil && connection%wholeEvery == 0 {
		return bodyBytes
	}
	return bodyBytes - missingBytes
}

func sendBody(_ context.Context, t Target, c net.Conn, id string) error {
	if err := write(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.Post(id), bodyBytes)); err != nil {
		return err
	}
	_, err := c.Write(body[:length(id)])
	return err
}

func sendPieces(ctx context.Context, t Target, c net.Conn, id string) error {
	if err := write(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.Post(id), bodyBytes)); err != nil {
		return err
	}
	for rest := body[:length(id)]; len(rest) > 0 && ctx.Err() == nil; {
		n := min(len(rest), pieceBytes)
		if _, err := c.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(piecePause)
	}
	return ctx.Err()
}

func sendChunks(size int) func(context.Context, Target, net.Conn, string) error {
	return func(_ context.Context, t Target, c net.Conn, id string) error {
		if err := write(c, t.Post(id)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, body[:size])
		if err := repeat(c, chunk, len(chunk)*(bodyBytes/size)); err != nil {
			return err
		}
		if length(id) < bodyBytes {
			// The last chunk, of length 0, is missing.
			return nil
		}
		return write(c, "0\r\n\r\n")
	}
}

func sendLong(_ context.Context, t Target, c net.Conn, id string) error { return write(c, t.Long(id)) }

func sendStream(_ context.Context, t Target, c net.Conn, id string) error {
	return write(c, t.Stream(id))
}

func sendPipelined(_ context.Context, t Target, c net.Conn, id string) error {
	return repeat(c, t.Long(id), pipelinedRequests*len(t.Long(id)))
}

func sendNothing(ctx context.Context, _ Target, c net.Conn, _ string) error {
	// Tells a connection that the router closed from one that it keeps.
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })
	defer stop()
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err := c.Read(make([]byte, 1))
	if n, ok := err.(net.Error); ok && n.Timeout() {
		return nil
	}
	return err
}

// sendUnreadBody sends a request to a path without a route, whose body never arrives.
func sendUnreadBody(_ context.Context, t Target, c net.Conn, _ string) error {
	_, err := fmt.Fprintf(c, "POST /no-route HTTP/1.1\r\nHost: %s\r\nContent-Length: 100000\r\n\r\n", t.Address)
	return err
}

func sendHalfHead(_ context.Context, t Target, c net.Conn, id string) error {
	text := t.Post(id)
	return write(c, text[:len(text)/2])
}
