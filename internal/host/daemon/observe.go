package daemon

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/admin"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
)

// newLogger returns a logger that writes one line of key=value fields per event,
// each with the name of the router.
func newLogger(level, router string) *logrus.Entry {
	l := logrus.New()
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	// The settings accept only levels that logrus knows, so there is no error.
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l.WithField("router", router)
}

// requestObserver logs ended requests and adds them to the metrics.
type requestObserver struct {
	log     *logrus.Entry
	metrics *admin.Metrics
	// class returns the default request class of a workspace.
	class func(workspace string) string
}

// RequestEnded logs a request and adds it to the metrics.
func (o *requestObserver) RequestEnded(s admission.RequestSummary) {
	if s.Class == "" && s.Workspace != "" {
		s.Class = o.class(s.Workspace)
	}
	o.metrics.RequestEnded(s)
	fields := logrus.Fields{
		"event": "request-end", "request": s.RequestID, "workspace": s.Workspace, "class": s.Class,
		"service": s.Service, "model": s.Model, "upstream": s.Upstream, "attempts": s.Attempts,
		"executed": s.Verdict.String(), "status": s.Status, "queue_ms": s.QueueTime.Milliseconds(),
		"first_token_ms": s.TimeToFirstToken.Milliseconds(), "longest_gap_ms": s.LongestGap.Milliseconds(),
		"total_ms": s.TotalTime.Milliseconds(), "prompt_tokens": s.PromptTokens,
		"cached_tokens": s.CachedTokens, "output_tokens": s.OutputTokens,
	}
	if s.Err != nil {
		fields["error"] = s.Err.Error()
	}
	o.log.WithFields(fields).Info("request ended")
}
