package loadgen

import (
	"maps"
	"net/http"
	"sync"

	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

// OpenStreams counts the streams whose responses have begun and not ended, by the
// address that serves them.
type OpenStreams struct {
	mu        sync.Mutex
	byAddress map[string]int
}

// NewOpenStreams returns a count without streams.
func NewOpenStreams() *OpenStreams { return &OpenStreams{byAddress: map[string]int{}} }

// ServeHTTP serves the counts as a JSON object, with the addresses as names.
func (s *OpenStreams) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := maps.Clone(s.byAddress)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, counts)
}

func (s *OpenStreams) add(address string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byAddress[address] += n
}
