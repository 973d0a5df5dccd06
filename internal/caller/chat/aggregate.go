package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// maxAggregateSize limits the total chunk size of one aggregated response, in
// bytes. It is far above the longest output of an engine.
const maxAggregateSize = 8 << 20

// freeAggregateSize is the total chunk size, in bytes, up to which a response is collected
// even if the budget for callers is used up. Most completions are smaller.
const freeAggregateSize = 64 << 10

var errAggregateTooLarge = errors.New("completion exceeds the size limit of non-streaming responses")

// deltaChunk holds the members of a chunk that an aggregated response needs.
type deltaChunk struct {
	Choices []struct {
		Index        int                        `json:"index"`
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason json.RawMessage            `json:"finish_reason"`
	} `json:"choices"`
	Usage       json.RawMessage `json:"usage"`
	Fingerprint json.RawMessage `json:"system_fingerprint"`
}

// toolCall is a tool call or the part of one that a chunk carries.
type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// choiceBuilder merges the deltas of one choice into a message. String members
// are collected in texts, other members in values.
type choiceBuilder struct {
	texts        map[string][]byte
	values       map[string]json.RawMessage
	toolCalls    map[int]*toolCall
	finishReason json.RawMessage
}

// aggregator collects the chunks of a non-streaming request and sends them as
// one response.
type aggregator struct {
	w           http.ResponseWriter
	rewriter    *chunkRewriter
	account     *intake.Connection
	choices     map[int]*choiceBuilder
	size        int
	usage       json.RawMessage
	fingerprint json.RawMessage
}

func newAggregator(w http.ResponseWriter, rw *chunkRewriter, account *intake.Connection) *aggregator {
	a := &aggregator{w: w, rewriter: rw, account: account}
	a.reset()
	return a
}

// reset discards the chunks of a failed attempt.
func (a *aggregator) reset() {
	a.account.Release(intake.Responses, int64(a.size))
	a.choices, a.size, a.usage, a.fingerprint = map[int]*choiceBuilder{}, 0, nil, nil
}

// started returns false: nothing is sent before the completion is complete.
func (a *aggregator) started() bool { return false }

// writeChunk merges a chunk into the response.
func (a *aggregator) writeChunk(c engine.Chunk) error {
	var d deltaChunk
	if err := json.Unmarshal(c.Data(), &d); err != nil {
		return fmt.Errorf("%w: %w", errMalformedChunk, err)
	}
	if n := int64(len(c.Data())); a.size+len(c.Data()) <= freeAggregateSize {
		a.account.Hold(intake.Responses, n)
	} else if !a.account.TryReserve(intake.Responses, n) {
		return engine.ErrNoRoom
	}
	a.size += len(c.Data())
	if a.size > maxAggregateSize {
		return errAggregateTooLarge
	}
	if isPresent(d.Usage) {
		a.usage = d.Usage
	}
	if isPresent(d.Fingerprint) {
		a.fingerprint = d.Fingerprint
	}
	for _, part := range d.Choices {
		choice, ok := a.choices[part.Index]
		if !ok {
			choice = &choiceBuilder{texts: map[string][]byte{}, values: map[string]json.RawMessage{}, toolCalls: map[int]*toolCall{}}
			a.choices[part.Index] = choice
		}
		if err := choice.addDelta(part.Delta); err != nil {
			return err
		}
		if isPresent(part.FinishReason) {
			choice.finishReason = part.FinishReason
		}
	}
	return nil
}

// flush does nothing: the response is sent by finish.
func (a *aggregator) flush() error { return nil }

func isPresent(value json.RawMessage) bool { return len(value) > 0 && string(value) != "null" }

// addDelta merges a delta. Strings are concatenated, tool calls are merged by
// index, and other members keep their last value. An empty role is ignored,
// since some engines repeat the role as an empty string.
func (b *choiceBuilder) addDelta(delta map[string]json.RawMessage) error {
	for name, value := range delta {
		switch {
		case !isPresent(value), name == "role" && string(value) == `""`:
		case name == "tool_calls":
			if err := b.addToolCalls(value); err != nil {
				return err
			}
		case name != "role" && firstByte(value) == '"':
			b.texts[name] = append(b.texts[name], unquote(value)...)
		default:
			b.values[name] = value
		}
	}
	return nil
}

func (b *choiceBuilder) addToolCalls(value json.RawMessage) error {
	var parts []toolCall
	if err := json.Unmarshal(value, &parts); err != nil {
		return fmt.Errorf("%w: tool call: %w", errMalformedChunk, err)
	}
	for _, part := range parts {
		call, ok := b.toolCalls[part.Index]
		if !ok {
			call = &toolCall{Index: part.Index}
			b.toolCalls[part.Index] = call
		}
		call.ID += part.ID
		call.Type = max(call.Type, part.Type)
		call.Function.Name += part.Function.Name
		call.Function.Arguments += part.Function.Arguments
	}
	return nil
}

// message returns the merged message in the format of the published API.
func (b *choiceBuilder) message() map[string]any {
	message := map[string]any{"role": "assistant", "content": nil}
	for name, value := range b.values {
		message[name] = value
	}
	for name, text := range b.texts {
		message[name] = string(text)
	}
	if len(b.toolCalls) > 0 {
		calls := make([]*toolCall, 0, len(b.toolCalls))
		for _, i := range slices.Sorted(maps.Keys(b.toolCalls)) {
			calls = append(calls, b.toolCalls[i])
		}
		message["tool_calls"] = calls
	}
	return message
}

// finish sends the complete response.
func (a *aggregator) finish() error {
	choices := []any{}
	for _, i := range slices.Sorted(maps.Keys(a.choices)) {
		choice := a.choices[i]
		choices = append(choices, map[string]any{"index": i, "message": choice.message(), "finish_reason": choice.finishReason, "logprobs": nil})
	}
	fields := map[string]any{"choices": choices}
	if isPresent(a.usage) {
		fields["usage"] = a.usage
	}
	if isPresent(a.fingerprint) {
		fields["system_fingerprint"] = a.fingerprint
	}
	rest, err := json.Marshal(fields)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformedChunk, err)
	}
	body := append(append([]byte{}, a.rewriter.head...), ',')
	body = append(body, rest[1:]...)
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(verdict.Header, verdict.Ran.String())
	a.w.WriteHeader(http.StatusOK)
	if _, err := a.w.Write(body); err != nil {
		return &callerWriteError{err: err}
	}
	return nil
}

// writeError sends the error as a complete response.
func (a *aggregator) writeError(resp errorResponse) error { return resp.write(a.w) }
