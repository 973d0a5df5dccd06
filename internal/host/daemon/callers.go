package daemon

import (
	"net/http"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/chat"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpserver"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/plain"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/idempotency"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	services "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// callerServer returns the HTTP server for callers: chat completions below /v1/
// and plain services below /services/.
func (d *Daemon) callerServer() *http.Server {
	o := &requestObserver{log: d.log, metrics: d.metrics, class: d.Class}
	maxBody := func(workspace string) int64 {
		return int64(min(d.activeConfig().Workspace(workspace).MaxBody(), d.settings.MaxBodyBytes()))
	}
	chats := chat.New(d.grantClient, d.engines, d, d, o,
		chat.WithMaxBody(maxBody), chat.WithStreamTimeout(d.settings.RequestTimeout()), chat.WithPartGuard(d.guard))
	mux := http.NewServeMux()
	mux.Handle("/v1/", chats)
	mux.Handle("/services/", plain.New(d.grantClient, services.New(d.pools), idempotency.New(idempotencyStore{d.store}), d, o,
		append(d.sheddingOptions(), plain.WithMaxBody(maxBody), plain.WithCallTimeout(d.settings.RequestTimeout()))...))
	s := &http.Server{
		Addr: d.settings.CallersAddress(), Handler: d.limitOpenRequests(mux), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: d.settings.MaxHeaderBytes(),
	}
	d.gate.Attach(s)
	return s
}

// headLimits returns the limits on the heads of callers' requests.
func (d *Daemon) headLimits() httpserver.HeadLimits {
	return httpserver.HeadLimits{Bytes: d.settings.MaxHeaderBytes(), Time: headerTimeout}
}

// limitOpenRequests rejects requests with status 503 while the maximum number of
// requests is open or the budget for callers is used up.
func (d *Daemon) limitOpenRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer d.openRequests.Add(-1)
		tooMany := d.openRequests.Add(1) > int64(d.settings.MaxOpenRequests())
		if tooMany || intake.FromContext(r.Context()).Begin(clock.Now()) != nil {
			w.Header().Set("Connection", "close")
			w.Header().Set(verdict.Header, verdict.NotRun.String())
			w.Header().Set("Retry-After", "1")
			http.Error(w, "this router has too many open requests", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Models returns the models that callers may request: those of this region, or of
// all regions if this one has none.
func (d *Daemon) Models() []string {
	list := d.poller.Current()
	if models := list.Models(d.settings.Region()); len(models) > 0 {
		return models
	}
	var models []string
	for _, h := range list.Hosts() {
		if m := h.Model(); m != "" && !slices.Contains(models, m) {
			models = append(models, m)
		}
	}
	return models
}
