package admin

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
)

// maxConfigBytes is the largest value that the key-value service can store.
const maxConfigBytes = 1 << 20

// Daemon is the state that the endpoint for operators exposes. It is implemented by
// daemon.Daemon.
type Daemon interface {
	// Readiness returns nil if the load balancer should send requests to this router,
	// and otherwise the reason why not.
	Readiness() error
	// Status returns the state of the daemon as a value for encoding/json.
	Status() any
	// Config returns the version and text of the active configuration.
	Config() (uint64, []byte)
	// ApplyConfig activates a configuration if its version is higher than the active
	// one, and returns the version that is active afterwards. The error describes why
	// the document is invalid.
	ApplyConfig(text []byte) (uint64, error)
}

// Handler returns the HTTP handler for operators.
func Handler(d Daemon, ring *DecisionRing, vars *expvar.Map) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Readiness(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.Status()) })
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) { explain(w, r, ring) })
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) { getConfig(w, d) })
	mux.HandleFunc("PUT /config", func(w http.ResponseWriter, r *http.Request) { putConfig(w, r, d) })
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) { getVars(w, vars) })
	return mux
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func explain(w http.ResponseWriter, r *http.Request, ring *DecisionRing) {
	q := r.URL.Query()
	switch {
	case q.Get("request") != "":
		writeJSON(w, http.StatusOK, ring.Request(q.Get("request")))
	case q.Get("upstream") != "":
		writeJSON(w, http.StatusOK, ring.Upstream(q.Get("upstream")))
	default:
		http.Error(w, "want ?request=ID or ?upstream=ID", http.StatusBadRequest)
	}
}

// configResponse is the response to GET and PUT /config.
type configResponse struct {
	Version  uint64 `json:"version"`
	Document string `json:"document,omitempty"`
	Error    string `json:"error,omitempty"`
}

func getConfig(w http.ResponseWriter, d Daemon) {
	version, text := d.Config()
	writeJSON(w, http.StatusOK, configResponse{Version: version, Document: string(text)})
}

func putConfig(w http.ResponseWriter, r *http.Request, d Daemon) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, configResponse{Error: err.Error()})
		return
	}
	version, err := d.ApplyConfig(text)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, configResponse{Version: version, Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, configResponse{Version: version})
}

// getVars writes the daemon's variables together with the process-wide expvars.
func getVars(w http.ResponseWriter, vars *expvar.Map) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\n%q: %s", "hemlock", vars.String())
	expvar.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	fmt.Fprintln(w, "\n}")
}
