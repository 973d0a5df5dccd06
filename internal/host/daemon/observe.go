package daemon

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
)

// newLog returns a logger that writes one key=value line for each event.
func newLog(level, router string) *logrus.Entry {
	l := logrus.New()
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	// Settings accept only levels that logrus knows.
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l.WithField("router", router)
}

// observer logs and measures ended requests.
type observer struct {
	log     *logrus.Entry
	metrics *admin.Metrics
	// class returns the class of a workspace's requests that name none.
	class func(workspace string) string
}

// RequestEnded writes the log line of a request and adds it to the histograms.
func (o *observer) RequestEnded(e admission.RequestSummary) {
	if e.Class == "" && e.Workspace != "" {
		e.Class = o.class(e.Workspace)
	}
	o.metrics.RequestEnded(e)
	fields := logrus.Fields{
		"event": "request-end", "request": e.RequestID, "workspace": e.Workspace, "class": e.Class,
		"service": e.Service, "model": e.Model, "upstream": e.Upstream, "attempts": e.Attempts,
		"executed": e.Verdict.String(), "status": e.Status, "queue_ms": e.Queue.Milliseconds(),
		"first_token_ms": e.FirstToken.Milliseconds(), "longest_gap_ms": e.LongestGap.Milliseconds(),
		"total_ms": e.Total.Milliseconds(), "prompt_tokens": e.PromptTokens,
		"cached_tokens": e.CachedTokens, "output_tokens": e.OutputTokens,
	}
	if e.Err != nil {
		fields["error"] = e.Err.Error()
	}
	o.log.WithFields(fields).Info("request ended")
}
