package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 1 << 20

// ChatRequest is one chat request to a router.
type ChatRequest struct {
	Address  string // of the router, host:port
	APIKey   string // sent as the bearer token
	ChatID   string // Hemlock-Chat header
	Model    string
	Messages []engine.Message
	Stream   bool
	OnStream func() // called when a stream begins, if set
}

// ChatResponse is the response to a chat request. Complete means that all of it
// was received: a stream up to [DONE], or a whole JSON body.
type ChatResponse struct {
	Status              int
	Executed            string // Hemlock-Executed header, or from an error event of the stream
	RequestID           string // Request-Id header, the ID that engines log
	RetryAfter          time.Duration
	Text                string
	Complete            bool
	ErrorEvent          bool // an event of the stream announced that it ends with an error
	Truncated           bool // the connection closed before the end of the body
	PromptTokens        int
	CachedTokens        int
	TimeToFirstToken    time.Duration
	InterTokenLatencies []time.Duration // time between consecutive tokens
	Duration            time.Duration
}

// Correct reports whether the response is the complete completion of the messages.
func (r ChatResponse) Correct(messages []engine.Message) bool {
	return r.Complete && r.Text == engine.CompletionText(messages)
}

// completionData is a chunk of a stream or a whole completion.
type completionData struct {
	Choices []struct {
		Delta   engine.Message `json:"delta"`
		Message engine.Message `json:"message"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Executed string `json:"executed"`
}

// SendChat sends a chat request and reads the response. For a truncated response
// it returns no error but Complete is false; an error means that there was no
// response.
func SendChat(ctx context.Context, client *http.Client, c ChatRequest) (ChatResponse, error) {
	body, err := json.Marshal(map[string]any{"model": c.Model, "messages": c.Messages, "stream": c.Stream})
	if err != nil {
		return ChatResponse{}, fmt.Errorf("chat: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return ChatResponse{}, fmt.Errorf("chat: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.APIKey)
	request.Header.Set("Hemlock-Chat", c.ChatID)
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return ChatResponse{}, fmt.Errorf("chat: %w", err)
	}
	defer response.Body.Close()
	result := ChatResponse{
		Status: response.StatusCode, Executed: response.Header.Get(verdict.Header), RequestID: response.Header.Get("Request-Id"),
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After")) // 0 without the header
	result.RetryAfter = time.Duration(seconds) * time.Second
	switch {
	case response.StatusCode != http.StatusOK:
		_, _ = io.Copy(io.Discard, response.Body) // drained for connection reuse; the body isn't used
	case c.Stream:
		if c.OnStream != nil {
			c.OnStream()
		}
		result.readStream(response.Body, start)
	default:
		result.readCompletion(response.Body)
	}
	result.Duration = time.Since(start)
	return result, nil
}

func (r *ChatResponse) addData(d completionData) {
	for _, c := range d.Choices {
		r.Text += c.Delta.Content + c.Message.Content
	}
	if d.Usage != nil {
		r.PromptTokens, r.CachedTokens = d.Usage.PromptTokens, d.Usage.Details.CachedTokens
	}
	if d.Executed != "" {
		r.Executed, r.ErrorEvent = d.Executed, true
	}
}

func (r *ChatResponse) readCompletion(body io.Reader) {
	var d completionData
	if json.NewDecoder(body).Decode(&d) == nil {
		r.addData(d)
		r.Complete = true
	}
}

func (r *ChatResponse) readStream(body io.Reader, start time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			r.Complete = true
			return
		}
		var d completionData
		if json.Unmarshal([]byte(data), &d) != nil {
			return
		}
		before := len(r.Text)
		r.addData(d)
		if len(r.Text) == before {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			r.TimeToFirstToken = now.Sub(start)
		} else {
			r.InterTokenLatencies = append(r.InterTokenLatencies, now.Sub(last))
		}
		last = now
	}
	r.Truncated = lines.Err() != nil
}
