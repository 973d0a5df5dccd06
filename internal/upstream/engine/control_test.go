package engine

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

// TestControl guards against reports and events that are decoded wrongly (such as
// a 64-bit chat above 2^53), against a stale fencing token that is reported as
// another error, and against KV data that is changed in transfer.
func TestControl(t *testing.T) {
	var orderRequest, imported string
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"boot_id":"b","running":2,"waiting":1,"cache_tokens":9,"state":"warm","model":"m","time":"2026-01-02T03:04:05Z"}`)
	})
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "{\"seq\":%s,\"chat\":18446744073709551615,\"op\":\"add\",\"tokens\":5}\n\n{\"seq\":9,\"chat\":\"7\",\"op\":\"drop\"}\n", r.FormValue("after"))
	})
	mux.HandleFunc("/v1/orders", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodPost {
			orderRequest = r.Header.Get("Fencing-Number") + string(body)
		}
		if r.Header.Get("Fencing-Number") == "1" {
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = io.WriteString(w, `{"model":"m","role":"decode"}`)
	})
	mux.HandleFunc("POST /v1/kv/export", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "kv of "+r.Header.Get("Hemlock-Chat"))
	})
	mux.HandleFunc("POST /v1/kv/import", func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		imported = r.Header.Get("Hemlock-Chat") + string(body)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	c, address, ctx := New(transport.New()), server.Listener.Addr().String(), t.Context()

	report, err := c.LoadReport(ctx, address)
	if want := (LoadReport{BootID: "b", State: "warm", Model: "m", Running: 2, Waiting: 1, CacheTokens: 9, Time: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}); err != nil || report != want {
		t.Error(report, err)
	}
	events, err := c.CacheEvents(ctx, address, 8)
	if want := []CacheEvent{{Seq: 8, Chat: 1<<64 - 1, Op: "add", Tokens: 5}, {Seq: 9, Chat: 7, Op: "drop"}}; err != nil || !slices.Equal(events, want) {
		t.Error(events, err)
	}
	if err := c.SetServingConfig(ctx, address, 4, ServingConfig{Model: "m"}); err != nil || orderRequest != `4{"model":"m"}` {
		t.Error(orderRequest, err)
	}
	if err := c.SetServingConfig(ctx, address, 1, ServingConfig{}); !errors.Is(err, ErrStaleFencing) {
		t.Error(err)
	}
	if o, err := c.ServingConfig(ctx, address); err != nil || o != (ServingConfig{Model: "m", Role: "decode"}) {
		t.Error(o, err)
	}
	var kv strings.Builder
	if n, err := c.KVExport(ctx, address, 5, &kv); err != nil || n != 7 || kv.String() != "kv of 5" {
		t.Error(kv.String(), err)
	}
	if err := c.KVImport(ctx, address, 6, strings.NewReader("data")); err != nil || imported != "6data" {
		t.Error(imported, err)
	}
}
