package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxReportBytes bounds the body of a load report or a serving configuration.
	maxReportBytes = 64 << 10
	// maxEventLineBytes and maxEventsPerCall bound one response with cache events;
	// the next call returns the remaining events.
	maxEventLineBytes = 4 << 10
	maxEventsPerCall  = 16 << 10
)

// ErrStaleFencing means that the engine has seen a higher fencing token.
var ErrStaleFencing = errors.New("engine rejected a stale fencing token")

// LoadReport is the state that an engine reports about itself.
type LoadReport struct {
	// BootID changes whenever the engine process starts.
	BootID string `json:"boot_id"`
	// State is "cold", "warm" or "leaving".
	State string `json:"state"`
	// Model is the loaded model.
	Model string `json:"model"`
	// Running and Waiting are the numbers of running and queued requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheTokens is the number of tokens in the prefix cache.
	CacheTokens int `json:"cache_tokens"`
	// Time is when the engine made the report.
	Time time.Time `json:"time"`
}

// LoadReport returns the load report of the engine at address.
func (c *Client) LoadReport(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.callWithTimeout(ctx, http.MethodGet, address, "/v1/load", nil, nil, decodeJSON(&report))
	return report, err
}

func decodeJSON(target any) func(io.Reader) error {
	return func(r io.Reader) error {
		return json.NewDecoder(io.LimitReader(r, maxReportBytes)).Decode(target)
	}
}

// CacheEvent is one change of the prefix cache of an engine.
type CacheEvent struct {
	// Seq increases by one with each event; a gap means lost events.
	Seq uint64
	// Chat is the placement key of the chat.
	Chat uint64
	// Op is "add" or "drop".
	Op string
	// Tokens is the size of the cached prefix.
	Tokens int
}

// UnmarshalJSON accepts the chat as a number or as a string of decimal digits,
// because some JSON encoders cannot write 64-bit numbers exactly.
func (e *CacheEvent) UnmarshalJSON(text []byte) error {
	var fields struct {
		Seq    uint64          `json:"seq"`
		Chat   json.RawMessage `json:"chat"`
		Op     string          `json:"op"`
		Tokens int             `json:"tokens"`
	}
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	digits := string(fields.Chat)
	if unquoted, err := strconv.Unquote(digits); err == nil {
		digits = unquoted
	}
	chat, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return fmt.Errorf("parse chat of cache event: %w", err)
	}
	*e = CacheEvent{Seq: fields.Seq, Chat: chat, Op: fields.Op, Tokens: fields.Tokens}
	return nil
}

// CacheEvents returns at most 16,384 cache events that follow a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	err := c.callWithTimeout(ctx, http.MethodGet, address, path, nil, nil, func(r io.Reader) error {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxEventLineBytes)
		for len(events) < maxEventsPerCall && lines.Scan() {
			if len(lines.Bytes()) == 0 {
				continue
			}
			var e CacheEvent
			if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
				return err
			}
			events = append(events, e)
		}
		return lines.Err()
	})
	return events, err
}

// ServingConfig is what an engine serves or is told to serve. SetServingConfig
// leaves empty fields unchanged.
type ServingConfig struct {
	// Model, Adapter and Version identify the loaded weights.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is the engine's part in serving, such as "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// staleFencingStatuses are the statuses with which engines reject a stale fencing
// token.
var staleFencingStatuses = map[int]bool{http.StatusConflict: true, http.StatusPreconditionFailed: true}

// SetServingConfig changes the serving configuration of the engine at address and
// waits for the result until ctx ends. fencing is the token of the engine's owner;
// a stale one fails with ErrStaleFencing. The call is idempotent.
func (c *Client) SetServingConfig(ctx context.Context, address string, fencing uint64, cfg ServingConfig) error {
	body, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	header := http.Header{
		"Content-Type":   {"application/json"},
		"Fencing-Number": {strconv.FormatUint(fencing, 10)},
	}
	err = c.call(ctx, http.MethodPost, address, "/v1/orders", header, bytes.NewReader(body), func(io.Reader) error { return nil })
	var statusErr *StatusError
	if errors.As(err, &statusErr) && staleFencingStatuses[statusErr.status] {
		return fmt.Errorf("%w: %w", ErrStaleFencing, err)
	}
	return err
}

// ServingConfig returns the current serving configuration of the engine at
// address.
func (c *Client) ServingConfig(ctx context.Context, address string) (ServingConfig, error) {
	var cfg ServingConfig
	err := c.callWithTimeout(ctx, http.MethodGet, address, "/v1/orders", nil, nil, decodeJSON(&cfg))
	return cfg, err
}

// KVExport copies the KV cache of a chat from the engine at address to w and
// returns the number of bytes. Only ctx bounds its duration.
func (c *Client) KVExport(ctx context.Context, address string, chat uint64, w io.Writer) (int64, error) {
	var n int64
	err := c.call(ctx, http.MethodPost, address, "/v1/kv/export", chatHeader(chat), nil, func(r io.Reader) error {
		var err error
		n, err = io.Copy(w, r)
		return err
	})
	return n, err
}

// KVImport copies the KV cache of a chat from r to the engine at address. Only ctx
// bounds its duration.
func (c *Client) KVImport(ctx context.Context, address string, chat uint64, r io.Reader) error {
	return c.call(ctx, http.MethodPost, address, "/v1/kv/import", chatHeader(chat), r, func(io.Reader) error { return nil })
}

func chatHeader(chat uint64) http.Header {
	return http.Header{
		"Content-Type": {"application/octet-stream"},
		"Hemlock-Chat": {strconv.FormatUint(chat, 10)},
	}
}
