package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

var firstTurn = []Message{{Role: "system", Content: "Draft swatch kits."}, {Role: "user", Content: "Linen, spring."}}

// streamChat sends a streamed chat request and returns the text, the last event
// ID, the usage of the last chunk and whether the stream ended with [DONE].
func streamChat(t *testing.T, url string, messages []Message, headers map[string]string) (text, lastEventID string, u *usage, done bool) {
	t.Helper()
	body, err := json.Marshal(chatRequest{Model: Defaults().Model, Messages: messages, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			lastEventID = id
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, lastEventID, u, true
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(err)
		}
		text += c.Choices[0].Delta.Content
		u = c.Usage
	}
	return text, lastEventID, u, false
}

// TestStreamAndResume guards against a resume that loses part of the completion
// or executes the request again, and against usage without the cached tokens.
func TestStreamAndResume(t *testing.T) {
	engine := New(Options{InterTokenLatency: time.Millisecond})
	server := httptest.NewServer(engine)
	defer server.Close()
	headers := map[string]string{"Request-Id": "r1", "Request-Attempt": "7", "Hemlock-Chat": "42"}

	engine.SetFaults(Faults{CutAfterChunks: 3, AffectedStreams: 1})
	first, last, _, done := streamChat(t, server.URL, firstTurn, headers)
	if done || last != "7:3" {
		t.Fatalf("cut stream: done %v, last event %s, want false and 7:3", done, last)
	}
	headers["Last-Event-ID"] = last
	second, last, u, done := streamChat(t, server.URL, firstTurn, headers)
	words := completionWords(firstTurn)
	if !done || first+second != CompletionText(firstTurn) || last != fmt.Sprintf("7:%d", len(words)+2) {
		t.Fatalf("resumed stream: done %v, last event %s, text %q", done, last, first+second)
	}
	if u == nil || u.PromptTokens != CountTokens(firstTurn) || u.Details.CachedTokens != 0 {
		t.Fatalf("usage %+v of a new chat of %d tokens", u, CountTokens(firstTurn))
	}
	if log := engine.Executions(); len(log) != 1 || log[0].Outcome != "complete" || log[0].Resumes != 1 {
		t.Fatalf("execution log %+v, want one complete execution with one resume", log)
	}

	secondTurn := append(append([]Message{}, firstTurn...), Message{Role: "assistant", Content: first + second})
	cached := CountTokens(secondTurn)
	secondTurn = append(secondTurn, Message{Role: "user", Content: "Darker."})
	text, _, u, done := streamChat(t, server.URL, secondTurn, map[string]string{"Request-Id": "r2", "Hemlock-Chat": "42"})
	if !done || text != CompletionText(secondTurn) || u.Details.CachedTokens != cached {
		t.Fatalf("second turn: done %v, usage %+v, want %d cached tokens", done, u, cached)
	}
}

// TestColdLimit guards against a cold engine that accepts more requests than its
// limit, and against counts that are wrong after a concurrent burst.
func TestColdLimit(t *testing.T) {
	engine := New(Options{ColdLimit: 2, WarmAfterCompletions: 2, InterTokenLatency: 20 * time.Millisecond})
	server := httptest.NewServer(engine)
	defer server.Close()
	const burst = 6
	statuses := make(chan int, burst)
	for i := range burst {
		go func() {
			body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"%d"}]}`, Defaults().Model, i)
			response, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	counts := map[int]int{}
	for range burst {
		counts[<-statuses]++
	}
	stats := engine.Stats()
	if counts[http.StatusOK] != 2 || counts[http.StatusInternalServerError] != burst-2 {
		t.Errorf("statuses %v, want 2 completions and %d failures", counts, burst-2)
	}
	if stats.PeakLoad != 2 || stats.Overloads != burst-2 || stats.Cold {
		t.Errorf("stats %+v, want peak load 2, %d overloads, and warm", stats, burst-2)
	}
}
