package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
)

const (
	// factsPath is the path of messages with facts on prompt parts and crashes.
	factsPath = "/Facts"
	// maxFactsBytes limits such a message.
	maxFactsBytes = 64 << 10
)

// SendFacts sends an encoded message with facts on prompt parts and crashes to the
// router at address.
func (c *Clients) SendFacts(ctx context.Context, address string, message []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+factsPath, bytes.NewReader(message))
	if err != nil {
		return fmt.Errorf("facts for %s: %w", address, err)
	}
	response, err := c.defaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("facts for %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("facts for %s: status %d", address, response.StatusCode)
	}
	return nil
}

// handleFacts returns a handler that passes messages with facts to receive and all
// other calls to next.
func handleFacts(next http.Handler, receive func(message []byte)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != factsPath {
			next.ServeHTTP(w, r)
			return
		}
		message, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFactsBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		receive(message)
		w.WriteHeader(http.StatusNoContent)
	})
}
