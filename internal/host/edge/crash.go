package edge

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/crash"
)

// maxLoggedRequests limits the requests named in one log line.
const maxLoggedRequests = 8

// recordCrash logs the crash of an upstream with the requests of this router that were
// in progress there, and the parts of their prompts.
func (e *Edge) recordCrash(r crash.Report) {
	e.counters.Add("upstream_crashes", 1)
	requests := r.Requests()
	var list []string
	for _, q := range requests[:min(len(requests), maxLoggedRequests)] {
		list = append(list, q.ID+"="+strings.Join(q.Parts, "+"))
	}
	e.log.WithFields(logrus.Fields{
		"upstream": r.Upstream(), "service": r.Service(), "age_ms": clock.Since(r.At()).Milliseconds(),
		"in_progress": len(requests), "requests": strings.Join(list, " "),
	}).Warn("upstream crashed")
}
