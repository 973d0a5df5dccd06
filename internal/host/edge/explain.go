package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/forward"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
)

const (
	// explainPath is the address of explanations on the metrics listener.
	explainPath = "/explain"
	// maxExplainValues limits the query values of a question. Callers send fewer header
	// fields.
	maxExplainValues = 64
	// explainTimeout limits the call of a router by AskExplanation.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes limits an explanation, which names the upstreams of a service.
	maxExplanationBytes = 8 << 20
)

// Question is a request to be explained.
type Question struct {
	Method, Host, Path string
	// Header holds fields as a caller sends them, "Name: value" each.
	Header []string
}

// errNotGET means that an explanation was asked for with another method than GET.
var errNotGET = errors.New("only GET is supported")

// serveOperators serves explanations at explainPath and the metrics at all other paths.
func (e *Edge) serveOperators(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == explainPath {
		e.serveExplanation(w, r)
		return
	}
	e.serveMetrics(w, r)
}

// serveExplanation responds with where a request would go now, as JSON. Neither the
// response nor the log has the header fields, which may hold an API key.
func (e *Edge) serveExplanation(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuestion(r)
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, errNotGET) {
			status = http.StatusMethodNotAllowed
		}
		http.Error(w, err.Error(), status)
		return
	}
	header, err := parseFields(q.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// One at a time, so that questions do not take the processor from requests.
	if !e.explaining.TryLock() {
		http.Error(w, "another request is being explained", http.StatusTooManyRequests)
		return
	}
	defer e.explaining.Unlock()
	explanation := e.gateway.Explain(r.Context(), q.Method, q.Host, q.Path, header)
	e.counters.Add("explanations", 1)
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected, so there is nobody to report it
	// to.
	_ = json.NewEncoder(w).Encode(explanation)
}

// parseQuestion reads a question from the query of a request.
func parseQuestion(r *http.Request) (Question, error) {
	if r.Method != http.MethodGet {
		return Question{}, errNotGET
	}
	if len(r.URL.RawQuery) > maxControlBytes || strings.Count(r.URL.RawQuery, "&") >= maxExplainValues {
		return Question{}, fmt.Errorf("the query has more than %d bytes or %d values", maxControlBytes, maxExplainValues)
	}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		// The error of the parser repeats the text, which may hold an API key.
		return Question{}, errors.New("the query is not valid")
	}
	for name, list := range values {
		switch name {
		case "method", "host", "path":
			if len(list) > 1 {
				return Question{}, fmt.Errorf("more than one value of %s", name)
			}
		case "header":
		default:
			return Question{}, errors.New("the query has other values than method, host, path and header")
		}
	}
	q := Question{Method: values.Get("method"), Host: values.Get("host"), Path: values.Get("path"), Header: values["header"]}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return Question{}, errors.New("host is required, and a path that begins with /")
	}
	return q, nil
}

// parseFields reads header fields. Its errors do not repeat them.
func parseFields(fields []string) (http.Header, error) {
	h := http.Header{}
	for i, f := range fields {
		name, value, found := strings.Cut(f, ":")
		if name = strings.TrimSpace(name); !found || name == "" {
			return nil, fmt.Errorf("header %d is not of the form \"Name: value\"", i+1)
		}
		h.Add(name, strings.TrimSpace(value))
	}
	return h, nil
}

// AskExplanation asks the router whose metrics listener has an address, as IP:PORT, where
// a request would go now.
func AskExplanation(ctx context.Context, router string, q Question) (forward.Explanation, error) {
	var explanation forward.Explanation
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	query := url.Values{"method": {q.Method}, "host": {q.Host}, "path": {q.Path}, "header": q.Header}
	u := url.URL{Scheme: "http", Host: router, Path: explainPath, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return explanation, withoutURL(err)
	}
	// Without a proxy, so that API keys are sent to the router only.
	transport := http1wire.Strict(&http.Transport{DisableKeepAlives: true})
	res, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return explanation, withoutURL(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return explanation, fmt.Errorf("the router answered with status %d", res.StatusCode)
	}
	httpresponse.LimitBody(res, maxExplanationBytes)
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return explanation, fmt.Errorf("read explanation: %w", err)
	}
	if err := json.Unmarshal(text, &explanation); err != nil {
		return explanation, fmt.Errorf("decode explanation: %w", err)
	}
	return explanation, nil
}

// withoutURL removes the URL from an error, since its query may hold an API key.
func withoutURL(err error) error {
	var e *url.Error
	if errors.As(err, &e) {
		err = e.Err
	}
	return fmt.Errorf("ask router: %w", err)
}
