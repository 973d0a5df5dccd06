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

// maxBodyBytes bounds a request body. The key-value store accepts values of up
// to 1 MB, which base64 and the other fields of a transaction enlarge.
const maxBodyBytes = 8 << 20

// shutdownTimeout bounds the wait for in-flight requests after a stop signal.
const shutdownTimeout = time.Second

// Serve serves HTTP on the address until ctx ends, which also cancels the
// contexts of in-flight requests. The name appears in the log only.
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

// DecodeJSON decodes a JSON body into v; fields that the body doesn't name keep
// their values. On an error it responds with 400 and returns false.
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

// ReadBody reads the whole body. On an error it responds with 400 and returns
// false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return body, true
}

// HandleFaults handles GET and POST /faults. The argument faults points to a copy
// of the injected faults; POST changes the copy and then calls apply.
func HandleFaults(w http.ResponseWriter, r *http.Request, faults any, apply func()) {
	if r.Method == http.MethodPost {
		if !DecodeJSON(w, r, faults) {
			return
		}
		apply()
	}
	WriteJSON(w, http.StatusOK, faults)
}

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"result is not JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // the client may have closed the connection
}

// WriteError writes an error response with a JSON body.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]any{"error": message, "message": message})
}

// Abort closes the connection without finishing the response. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Hang sends nothing more on the connection until the client closes it or the
// server stops, then closes it. It does not return.
func Hang(r *http.Request) {
	// The server detects a closed connection only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	Abort()
}
