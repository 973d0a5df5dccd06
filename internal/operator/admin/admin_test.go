package admin

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// TestMetricsBounded guards against memory that grows with the number of workspaces
// in callers' requests.
func TestMetricsBounded(t *testing.T) {
	m := NewMetrics()
	for i := range 10 * maxWorkspaces {
		m.RequestEnded(admission.RequestSummary{Workspace: fmt.Sprintf("w-%d", i), Class: "batch", Verdict: verdict.Ran, TotalTime: time.Second})
	}
	var out map[string]map[string]summary
	if err := json.Unmarshal([]byte(m.String()), &out); err != nil {
		t.Fatal(err)
	}
	if n := len(out["workspace"]); n != maxWorkspaces+1 {
		t.Errorf("%d workspaces, want %d and one for the others", n, maxWorkspaces)
	}
	if got := out["workspace"][otherKey].Verdicts["yes"]; got != 9*maxWorkspaces {
		t.Errorf("%d requests of other workspaces, want %d", got, 9*maxWorkspaces)
	}
	if got := out["class"]["batch"].Times["total_ms"]["p95"]; got < 960 || got > 1040 {
		t.Errorf("p95 of total is %d ms, want about 1000", got)
	}
}

// TestDecisionRing guards against losing or reordering decisions when the ring is
// full.
func TestDecisionRing(t *testing.T) {
	r := NewDecisionRing(3)
	for i := range 5 {
		r.Add(Decision{Request: "r", Attempt: uint32(i), Steps: []Step{{Upstream: "e1"}}})
	}
	got := ""
	for _, d := range r.Upstream("e1") {
		got += fmt.Sprint(d.Attempt)
	}
	if got != "234" || len(r.Request("r")) != 3 || len(r.Request("other")) != 0 {
		t.Errorf("attempts %q, want 234", got)
	}
}

// fakeDaemon accepts documents that contain "good".
type fakeDaemon struct{ ready error }

func (d fakeDaemon) Readiness() error         { return d.ready }
func (d fakeDaemon) Status() any              { return map[string]int{"version": 7} }
func (d fakeDaemon) Config() (uint64, []byte) { return 7, []byte("good") }
func (d fakeDaemon) ApplyConfig(text []byte) (uint64, error) {
	if !strings.Contains(string(text), "good") {
		return 7, errors.New("line 1 is wrong")
	}
	return 8, nil
}

// TestHandler guards against status codes and bodies that hemlockctl or a load
// balancer would misinterpret.
func TestHandler(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		ready              error
		status             int
		want               string
	}{
		{"GET", "/readyz", "", nil, 200, "ready"},
		{"GET", "/readyz", "", errors.New("this router is stopping"), 503, "stopping"},
		{"GET", "/config", "", nil, 200, `{"version":7,"document":"good"}`},
		{"PUT", "/config", "good", nil, 200, `{"version":8}`},
		{"PUT", "/config", "bad", nil, 400, `{"version":7,"error":"line 1 is wrong"}`},
		{"PUT", "/config", strings.Repeat("good", 1<<19), nil, 413, "too large"},
		{"GET", "/status", "", nil, 200, `{"version":7}`},
		{"GET", "/explain?request=none", "", nil, 200, "[]"},
		{"GET", "/explain", "", nil, 400, "want ?request=ID"},
		{"GET", "/debug/vars", "", nil, 200, `"hemlock": {}`},
	} {
		w := httptest.NewRecorder()
		h := Handler(fakeDaemon{c.ready}, NewDecisionRing(4), new(expvar.Map).Init())
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s %s: %d %s, want %d %s", c.method, c.path, w.Code, w.Body, c.status, c.want)
		}
	}
}
