package edge

import "github.com/hemlockcroft/hemlockcroft/internal/host/clock"

// QuarantineRouters returns the name of this router and of all reachable ones.
func (e *Edge) QuarantineRouters() (self string, all []string) {
	return e.settings.Name(), e.gossipState.ReachableRouters(clock.Now())
}

// QuarantineSaved logs that the quarantined sets were saved.
func (e *Edge) QuarantineSaved(bytes int, err error) {
	e.logDependency("quarantine", err)
	if err == nil {
		e.log.WithField("bytes", bytes).Info("quarantine saved")
	}
}

// loadQuarantine adopts saved sets.
func (e *Edge) loadQuarantine(document []byte) {
	if err := e.quarantineSaver.Load(document); err != nil && e.logOnce("quarantine", err) {
		e.counters.Add("quarantine_invalid", 1)
		e.log.WithError(err).Warn("ignoring invalid entry of the saved quarantine")
	}
}
