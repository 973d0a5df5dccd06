package hosts

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

// maxVersions is the number of past lists that are kept for Faults.LagMS.
const maxVersions = 1024

// Target is one host of the list. The label id identifies it; the label state is
// live, leaving or gone. The served list omits hosts that are gone.
type Target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Faults are the injected faults; POST /faults changes the fields it names.
type Faults struct {
	LagMS int `json:"lag_ms"` // age of the served list in milliseconds
}

type listVersion struct {
	since   time.Time
	targets []Target
}

// Server is the fake host list service; it implements http.Handler.
type Server struct {
	mux *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	versions []listVersion // oldest first, the last one is current; their targets are never changed in place
}

// New returns a service that serves the targets.
func New(targets []Target) *Server {
	s := &Server{mux: http.NewServeMux()}
	s.SetTargets(targets)
	s.mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		targets := s.visibleTargets(time.Now())
		// The tag depends only on the contents, so that it survives a restart.
		tag, err := entityTag(targets)
		if err != nil {
			standin.WriteError(w, http.StatusInternalServerError, err.Error())
			return
		}
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		standin.WriteJSON(w, http.StatusOK, targets)
	})
	s.mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var replacement []Target
		if standin.DecodeJSON(w, r, &replacement) {
			s.SetTargets(replacement)
			standin.WriteJSON(w, http.StatusOK, replacement)
		}
	})
	s.mux.HandleFunc("POST /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var change struct {
			State string `json:"state"`
		}
		if !standin.DecodeJSON(w, r, &change) {
			return
		}
		if !s.SetState(r.PathValue("id"), change.State) {
			standin.WriteError(w, http.StatusNotFound, "no such host, or state is not live, leaving or gone")
			return
		}
		standin.WriteJSON(w, http.StatusOK, change)
	})
	s.mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		standin.HandleFaults(w, r, &faults, func() { s.SetFaults(faults) })
	})
	return s
}

// entityTag returns the ETag of a list, a hash of its JSON.
func entityTag(targets []Target) (string, error) {
	text, err := json.Marshal(targets)
	if err != nil {
		return "", fmt.Errorf("host list: %w", err)
	}
	return fmt.Sprintf(`"%016x"`, xxhash.Sum64(text)), nil
}

// ServeHTTP serves /hosts and /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetTargets replaces the host list.
func (s *Server) SetTargets(targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendVersion(slices.Clone(targets))
}

// SetState changes the state of a host to live, leaving or gone; it returns
// false if there is no such host or state.
func (s *Server) SetState(id, state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := slices.Clone(s.versions[len(s.versions)-1].targets)
	i := slices.IndexFunc(targets, func(t Target) bool { return t.Labels["id"] == id })
	if i < 0 || !slices.Contains([]string{"live", "leaving", "gone"}, state) {
		return false
	}
	targets[i].Labels = maps.Clone(targets[i].Labels)
	targets[i].Labels["state"] = state
	s.appendVersion(targets)
	return true
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) appendVersion(targets []Target) {
	s.versions = append(s.versions, listVersion{since: time.Now(), targets: targets})
	s.versions = s.versions[max(0, len(s.versions)-maxVersions):]
}

// visibleTargets returns the list as of LagMS ago, without hosts that are gone.
func (s *Server) visibleTargets(now time.Time) []Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := now.Add(-time.Duration(s.faults.LagMS) * time.Millisecond)
	i := len(s.versions) - 1
	for i > 0 && s.versions[i].since.After(asOf) {
		i--
	}
	visible := []Target{}
	for _, t := range s.versions[i].targets {
		if t.Labels["state"] != "gone" {
			visible = append(visible, t)
		}
	}
	return visible
}
