package weights

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

// Stats are the counts of served and rate-limited downloads by model.
type Stats struct {
	Served      map[string]int `json:"served"`
	RateLimited map[string]int `json:"limited"`
}

// Server is the fake weight store; it implements http.Handler.
type Server struct {
	maxDownloads int
	window       time.Duration
	mux          *http.ServeMux

	mu              sync.Mutex
	recentDownloads []time.Time // start times of the downloads within the window, oldest first
	stats           Stats
}

// New returns a store that serves at most maxDownloads downloads in any window.
func New(maxDownloads int, window time.Duration) *Server {
	s := &Server{maxDownloads: maxDownloads, window: window, mux: http.NewServeMux(), stats: Stats{Served: map[string]int{}, RateLimited: map[string]int{}}}
	s.mux.HandleFunc("GET /weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		model := r.PathValue("model")
		if wait := s.reserve(time.Now(), model); wait > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(wait/time.Second)+1))
			standin.WriteError(w, http.StatusTooManyRequests, "too many loads")
			return
		}
		standin.WriteJSON(w, http.StatusOK, map[string]string{"model": model, "weights": "stand-in"})
	})
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return s
}

// ServeHTTP serves /weights/{model} and /stats.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Served: maps.Clone(s.stats.Served), RateLimited: maps.Clone(s.stats.RateLimited)}
}

// reserve counts a download. It returns 0 if the download is within the limit,
// otherwise the time to wait.
func (s *Server) reserve(now time.Time, model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recentDownloads) > 0 && now.Sub(s.recentDownloads[0]) >= s.window {
		s.recentDownloads = s.recentDownloads[1:]
	}
	if len(s.recentDownloads) >= s.maxDownloads {
		s.stats.RateLimited[model]++
		if len(s.recentDownloads) == 0 {
			return s.window
		}
		return s.window - now.Sub(s.recentDownloads[0])
	}
	s.recentDownloads = append(s.recentDownloads, now)
	s.stats.Served[model]++
	return 0
}
