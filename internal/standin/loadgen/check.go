package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/engine"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/plain"
)

// pollInterval is the time between polls of a URL that is not ready.
const pollInterval = 100 * time.Millisecond

func get(ctx context.Context, url string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// WaitReady waits until each URL responds with status 200, or returns an error
// when ctx ends.
func WaitReady(ctx context.Context, urls []string) error {
	for _, url := range urls {
		for {
			status, _, err := get(ctx, url)
			if err == nil && status == http.StatusOK {
				break
			}
			if !clock.Sleep(ctx, pollInterval) {
				return fmt.Errorf("%s is not ready: status %d, %v", url, status, err)
			}
		}
	}
	return nil
}

// RunChat sends the turns of one chat, each to the next address, and returns an
// error if a completion is not the expected one. It returns the cached tokens of
// the last turn.
func RunChat(ctx context.Context, c ChatRequest, addresses []string, turns int) (cachedTokens int, err error) {
	c.Messages = []engine.Message{
		{Role: "system", Content: "You draft swatch kits for " + c.ChatID + "."},
		{Role: "user", Content: "Draft a kit of five linens."},
	}
	for turn := range turns {
		c.Address = addresses[turn%len(addresses)]
		response, err := sendWithRetry(ctx, c)
		if err != nil {
			return 0, err
		}
		if !response.Correct(c.Messages) {
			return 0, fmt.Errorf("turn %d at %s: unexpected response: status %d, executed %q, complete %v, text %q",
				turn+1, c.Address, response.Status, response.Executed, response.Complete, response.Text)
		}
		cachedTokens = response.CachedTokens
		c.Messages = append(c.Messages,
			engine.Message{Role: "assistant", Content: response.Text},
			engine.Message{Role: "user", Content: "Now one shade darker."})
	}
	return cachedTokens, nil
}

// sendWithRetry sends a chat request. It retries a request that was rejected as
// not executed after the delay in Retry-After, until ctx ends.
func sendWithRetry(ctx context.Context, c ChatRequest) (ChatResponse, error) {
	for {
		response, err := SendChat(ctx, http.DefaultClient, c)
		refused := err == nil && response.Executed == verdict.NotRun.String() && response.RetryAfter > 0
		if !refused || !clock.Sleep(ctx, response.RetryAfter) {
			return response, err
		}
	}
}

// CheckExactlyOnce sends the same call with the same idempotency key to each
// address. It returns an error unless the workers executed the call exactly once
// and all response bodies are equal.
func CheckExactlyOnce(ctx context.Context, addresses []string, apiKey, path, idempotencyKey string, workers []string) error {
	var first []byte
	for _, address := range addresses {
		body, err := sendCall(ctx, address, apiKey, path, idempotencyKey)
		if err != nil {
			return err
		}
		if first == nil {
			first = body
		}
		if !bytes.Equal(first, body) {
			return fmt.Errorf("responses differ: %s and %s", first, body)
		}
	}
	executed := 0
	for _, worker := range workers {
		_, body, err := get(ctx, worker+"/executions")
		if err != nil {
			return err
		}
		var executions []plain.Execution
		if err = json.Unmarshal(body, &executions); err != nil {
			return fmt.Errorf("%s: %w", worker, err)
		}
		for _, e := range executions {
			if e.IdempotencyKey == idempotencyKey {
				executed++
			}
		}
	}
	if executed != 1 {
		return fmt.Errorf("the call with idempotency key %s was executed %d times, want 1", idempotencyKey, executed)
	}
	return nil
}

func sendCall(ctx context.Context, address, apiKey, path, idempotencyKey string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewBufferString(`{"cut":"linen","metres":3}`))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Idempotency-Key", idempotencyKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("call to %s: status %d: %s", address, response.StatusCode, body)
	}
	return body, err
}

// SumStats returns the sum over the engines of one field of their /stats, such as
// "started".
func SumStats(ctx context.Context, engines []string, field string) (int64, error) {
	var sum int64
	for _, url := range engines {
		_, body, err := get(ctx, url+"/stats")
		if err != nil {
			return 0, err
		}
		var stats map[string]any
		if err = json.Unmarshal(body, &stats); err != nil {
			return 0, fmt.Errorf("%s: %w", url, err)
		}
		n, ok := stats[field].(float64)
		if !ok {
			return 0, errors.New("stats have no numeric field " + field)
		}
		sum += int64(n)
	}
	return sum, nil
}
