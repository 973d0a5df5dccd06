package forward

import (
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// parts returns the shared parts of the prompt.
func (j *job) parts() []prefix.Part {
	parts := make([]prefix.Part, len(j.call.Shared))
	for i, name := range j.call.Shared {
		parts[i] = prefix.PartOf(name)
	}
	return parts
}

// source returns the address of an engine that has parts of the prompt which u
// lacks, empty if there is none. Copying a part is several times cheaper and
// faster than computing it.
func (j *job) source(u *directory.Upstream) string {
	if !j.service.IsEngine() || len(j.call.Shared) == 0 {
		return ""
	}
	now := clock.Now()
	for _, engine := range j.Holders.Source(now, j.parts(), u.Engine()) {
		if v := j.Directory.Engine(engine); v != nil && v.Service() == j.serviceName && !j.Health.Suspect(now, v.ID()) {
			j.log().WithField("upstream", u.ID()).WithField("source", v.ID()).Info("copies prompt")
			return v.Address()
		}
	}
	return ""
}

// learn notes that u has read the prompt and tells the other routers.
func (j *job) learn(u *directory.Upstream) {
	if !j.service.IsEngine() {
		return
	}
	now := clock.Now()
	for _, p := range j.parts() {
		use := prefix.Use{Part: p, Engine: u.Engine()}
		if j.Holders.Used(now, use) {
			j.Board.QueueLocation(use)
		}
	}
}
