package chat

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// engineFault is the behavior of a fake engine and whether the engine executes
// the request.
type engineFault struct {
	name     string
	executes bool
	script   engineScript // nil if nothing listens
}

var engineFaults = []engineFault{
	{"down", false, nil},
	{"refused as not executed", false, refuseWith("no")},
	{"refused without a verdict", false, refuseWith("")},
	{"response lost in an intermediary", true, refuseWith("")},
	{"killed before execution", false, resetConnection},
	{"killed during execution", true, resetConnection},
	{"killed after a chunk", true, resetAfterChunk},
	{"silent", true, func(_ http.ResponseWriter, r *http.Request, _ func(int, string)) { <-r.Context().Done() }},
	{"failed, with a verdict of not executed", true, func(w http.ResponseWriter, _ *http.Request, _ func(int, string)) {
		w.Header().Set(verdict.Header, "no")
		w.WriteHeader(http.StatusInternalServerError)
	}},
	{"responds", true, streamCompletion},
}

// TestNotExecutedIsTrue guards against a "not executed" response to a request
// that an engine executed. It sends requests through every sequence of one or
// two engine faults and compares the responses with what the engines executed.
// For comparison it does the same with a naive router, which takes every
// connection error and every 503 for "not executed".
func TestNotExecutedIsTrue(t *testing.T) {
	var sequences [][]int
	for i := range engineFaults {
		sequences = append(sequences, []int{i})
		for j := range engineFaults {
			if j != i {
				sequences = append(sequences, []int{i, j})
			}
		}
	}
	var executions atomic.Int32
	var scripts []engineScript
	for _, e := range engineFaults {
		scripts = append(scripts, func(w http.ResponseWriter, r *http.Request, send func(int, string)) {
			if e.executes {
				executions.Add(1)
			}
			e.script(w, r, send)
		})
	}
	deps, server := startServer(t, nil, scripts...)
	engines := deps.engines
	engines[0].Close()
	refusals, falseRefusals, naiveRefusals, falseNaiveRefusals := 0, 0, 0, 0
	for n, sequence := range sequences {
		deps.engines = nil
		for _, i := range sequence {
			deps.engines = append(deps.engines, engines[i])
		}
		executions.Store(0)
		resp, text := postCompletion(t, server, unclosedRequest+fmt.Sprintf(`,"stream":%v}`, n%2 == 0))
		<-deps.summaries
		for len(deps.cancels) > 0 { // a full channel would block the engines' handlers
			<-deps.cancels
		}
		if resp.Header.Get(verdict.Header) == "no" {
			refusals++
			if executions.Load() > 0 {
				falseRefusals++
				t.Errorf("%v: executed, but refused with status %d %s", sequence, resp.StatusCode, text)
			}
		}
		executions.Store(0)
		if naiveNotExecuted(deps.engines) {
			naiveRefusals++
			falseNaiveRefusals += min(int(executions.Load()), 1)
		}
	}
	t.Logf("%d runs: %d refusals, %d of them false; naive %d, %d of them false", len(sequences), refusals, falseRefusals, naiveRefusals, falseNaiveRefusals)
	if refusals == 0 || falseNaiveRefusals == 0 {
		t.Error("no refusal by the handler or no false refusal by the naive router; the comparison is meaningless")
	}
}

var shortTimeoutClient = &http.Client{Timeout: 50 * time.Millisecond}

// naiveNotExecuted tries the engines in turn and reports whether none of them
// seems to have executed the request.
func naiveNotExecuted(engines []*httptest.Server) bool {
	for _, s := range engines {
		resp, err := shortTimeoutClient.Post(s.URL+"/v1/chat/completions", "application/json", nil)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
			return false
		}
	}
	return true
}
