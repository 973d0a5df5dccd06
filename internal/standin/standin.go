package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// maxBodyBytes bounds a request body in bytes. The key-value service takes values
// up to 1 MB, which base64 and the other fields of a transaction enlarge.
const maxBodyBytes = 8 << 20

// shutdownTimeout is how long open requests may take to end after a stop signal.
const shutdownTimeout = time.Second

// Serve answers requests on the address until ctx ends. Requests that are
// still open then see their context cancelled.
func Serve(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logrus.WithFields(logrus.Fields{"standin": name, "address": listener.Addr().String()}).Info("listening")
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err = <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err = server.Shutdown(shutdownCtx); errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	<-serveErr
	return err
}

// DecodeJSON decodes a JSON body into v, whose fields keep their values where the
// body does not name them. It answers 400 and returns false on a fault.
func DecodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := ReadBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// ReadBody reads the whole body. It answers 400 and returns false on a fault.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return body, true
}

// HandleFaults answers GET and POST /faults. The argument faults points to a copy of
// the faults in force, which set puts into effect once POST has changed it.
func HandleFaults(w http.ResponseWriter, r *http.Request, faults any, apply func()) {
	if r.Method == http.MethodPost {
		if !DecodeJSON(w, r, faults) {
			return
		}
		apply()
	}
	WriteJSON(w, http.StatusOK, faults)
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"result is not JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // the peer may have gone
}

// WriteError answers with an error in JSON.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]any{"error": message, "message": message})
}

// Abort closes the connection without a response. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Hang leaves the connection open without a byte until the peer closes it
// or the stand-in stops, then closes it. It does not return.
func Hang(r *http.Request) {
	// The server notices a closed connection only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	Abort()
}
