package engine

import (
	"bytes"
	"encoding/json"
	"time"
)

// Usage is the token count that an engine reports in its last chunk.
type Usage struct {
	// Prompt, Cached and Output are numbers of tokens; Cached counts the prompt
	// tokens that were found in the prefix cache.
	Prompt, Cached, Output int
}

// Result describes a stream, whether complete or not.
type Result struct {
	bootID           string
	usage            Usage
	timeToFirstToken time.Duration
	firstTokenAt     time.Time
	lastChunkAt      time.Time
	longestGap       time.Duration
	chunks           int
	dropped          int
	resumes          int
	connectionLost   bool
}

// BootID returns the boot ID of the engine process, empty if it sent none.
func (r Result) BootID() string { return r.bootID }

// Usage returns the token counts, zero if the engine reported none.
func (r Result) Usage() Usage { return r.usage }

// TimeToFirstToken returns the time from sending the request to the first token,
// 0 if none arrived.
func (r Result) TimeToFirstToken() time.Duration { return r.timeToFirstToken }

// InterTokenLatency returns the mean time between chunks from the first token on,
// 0 if there were fewer than two chunks.
func (r Result) InterTokenLatency() time.Duration {
	if r.chunks < 2 {
		return 0
	}
	return r.lastChunkAt.Sub(r.firstTokenAt) / time.Duration(r.chunks-1)
}

// LongestGap returns the longest time between two chunks from the first token on.
func (r Result) LongestGap() time.Duration { return r.longestGap }

// Chunks returns the number of chunks from the first token on.
func (r Result) Chunks() int { return r.chunks }

// Dropped returns the number of chunks that were dropped because they were
// duplicates, belonged to another attempt or had an invalid id.
func (r Result) Dropped() int { return r.dropped }

// Resumes returns the number of attempts to resume the stream.
func (r Result) Resumes() int { return r.resumes }

// ConnectionLost reports whether a connection was refused or reset, which
// suggests that the engine restarted.
func (r Result) ConnectionLost() bool { return r.connectionLost }

// chunkPayload is the part of a chunk's JSON that the client reads.
type chunkPayload struct {
	Choices []struct {
		Delta map[string]json.RawMessage `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt  int `json:"prompt_tokens"`
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

var usageKey = []byte(`"usage"`)

// observe records the times and the usage of a chunk. Decoding is the largest
// cost here, so chunks are decoded only up to the first token and if they may
// contain the usage.
func (r *Result) observe(start, now time.Time, data []byte) {
	if r.chunks > 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.lastChunkAt))
		r.lastChunkAt = now
		r.chunks++
	}
	if r.chunks > 0 && !bytes.Contains(data, usageKey) {
		return
	}
	var payload chunkPayload
	if json.Unmarshal(data, &payload) != nil {
		return
	}
	if r.chunks == 0 && payload.hasToken() {
		r.firstTokenAt, r.lastChunkAt, r.timeToFirstToken, r.chunks = now, now, now.Sub(start), 1
	}
	if u := payload.Usage; u != nil {
		r.usage = Usage{Prompt: u.Prompt, Cached: u.Details.Cached, Output: u.Output}
	}
}

// hasToken reports whether a choice contains more than its role. The first chunk
// of a stream may contain the role only and precede the first token.
func (p *chunkPayload) hasToken() bool {
	for _, choice := range p.Choices {
		for name, value := range choice.Delta {
			if name != "role" && string(value) != `""` && string(value) != "null" {
				return true
			}
		}
	}
	return false
}
