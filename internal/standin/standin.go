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

// maxBody bounds a request body in bytes. The key-value service takes values
// up to 1 MB, which base64 and the other fields of a transaction enlarge.
const maxBody = 8 << 20

// stopTime is how long open requests may take to end after a stop signal.
const stopTime = time.Second

// Serve answers requests on the address until ctx ends. Requests that are
// still open then see their context cancelled.
func Serve(ctx context.Context, name, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logrus.WithFields(logrus.Fields{"standin": name, "address": listener.Addr().String()}).Info("listening")
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err = <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	if err = server.Shutdown(stop); errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	<-ended
	return err
}

// Read decodes a JSON body into v, whose fields keep their values where the
// body does not name them. It answers 400 and returns false on a fault.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := Body(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Body reads the whole body. It answers 400 and returns false on a fault.
func Body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return body, true
}

// Faults answers GET and POST /faults. The argument faults points to a copy of
// the faults in force, which set puts into effect once POST has changed it.
func Faults(w http.ResponseWriter, r *http.Request, faults any, set func()) {
	if r.Method == http.MethodPost {
		if !Read(w, r, faults) {
			return
		}
		set()
	}
	Write(w, http.StatusOK, faults)
}

// Write answers with v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"result is not JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // the peer may have gone
}

// Fail answers with an error in JSON.
func Fail(w http.ResponseWriter, status int, message string) {
	Write(w, status, map[string]any{"error": message, "message": message})
}

// Drop closes the connection without a response. It does not return.
func Drop() { panic(http.ErrAbortHandler) }

// Silence leaves the connection open without a byte until the peer closes it
// or the stand-in stops, then closes it. It does not return.
func Silence(r *http.Request) {
	// The server notices a closed connection only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	Drop()
}
