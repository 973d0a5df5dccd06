package plain

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

// idleCloseDelay is the time between the response and the close of the connection
// under CloseIdleConnections, long enough for the client to return the connection
// to its pool.
const idleCloseDelay = 20 * time.Millisecond

// Faults are the injected faults; POST /faults changes the fields it names.
type Faults struct {
	DelayMS              int  `json:"delay_ms"`            // time between execution and response in milliseconds
	CloseBeforeResponse  bool `json:"close_before_answer"` // execute, then close the connection
	RefuseRequests       bool `json:"refuse"`              // respond with 503 and Hemlock-Executed: no
	CloseIdleConnections bool `json:"close_idle"`          // close connections shortly after a response that doesn't announce it
}

// Execution is an executed call. It is also the response body.
type Execution struct {
	Number         int       `json:"execution"` // from 1
	Service        string    `json:"service"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	RequestID      string    `json:"request_id,omitempty"`
	BodySHA256     string    `json:"body_sha256"`
	Time           time.Time `json:"time"`
}

// Server is a fake service worker; it implements http.Handler.
type Server struct {
	name string

	mu         sync.Mutex
	faults     Faults
	executions []Execution
}

// New returns a worker that gives its name in responses.
func New(name string) *Server { return &Server{name: name} }

// ServeHTTP serves /executions and /faults and executes any other call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/executions":
		standin.WriteJSON(w, http.StatusOK, s.Executions())
	case "/faults":
		faults := s.Faults()
		standin.HandleFaults(w, r, &faults, func() { s.SetFaults(faults) })
	default:
		s.execute(w, r)
	}
}

// Executions returns a copy of the executed calls in order.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request) {
	body, ok := standin.ReadBody(w, r)
	if !ok {
		return
	}
	faults := s.Faults()
	if faults.RefuseRequests {
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusServiceUnavailable, "service refuses new calls")
		return
	}
	e := s.recordExecution(r, body)
	if !clock.Sleep(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond) {
		return
	}
	switch {
	case faults.CloseBeforeResponse:
		standin.Abort()
	case faults.CloseIdleConnections:
		respondAndClose(w, e)
	default:
		standin.WriteJSON(w, http.StatusOK, e)
	}
}

func (s *Server) recordExecution(r *http.Request, body []byte) Execution {
	hash := sha256.Sum256(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Execution{
		Number: len(s.executions) + 1, Service: s.name, Method: r.Method, Path: r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"), RequestID: r.Header.Get("Request-Id"),
		BodySHA256: hex.EncodeToString(hash[:]), Time: time.Now(),
	}
	s.executions = append(s.executions, e)
	return e
}

// respondAndClose writes a response that keeps the connection alive and closes it
// shortly after, so that the client may send its next call on a closing
// connection.
func respondAndClose(w http.ResponseWriter, e Execution) {
	text, err := json.Marshal(e)
	if err != nil {
		standin.Abort()
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		standin.Abort()
	}
	defer conn.Close()
	response := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(text)),
		Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(bytes.NewReader(text)),
	}
	if response.Write(conn) == nil {
		time.Sleep(idleCloseDelay)
	}
}
