package forward

import (
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// prefixHashes returns the shared parts of the prompt.
func (j *job) prefixHashes() []prefix.Hash {
	parts := make([]prefix.Hash, len(j.call.Prefixes))
	for i, name := range j.call.Prefixes {
		parts[i] = prefix.HashOf(name)
	}
	return parts
}

// copySource returns the address of an engine that has parts of the prompt which u
// lacks, empty if there is none. Copying a part is several times cheaper and
// faster than computing it.
func (j *job) copySource(u *directory.Upstream) string {
	if !j.service.IsEngine() || len(j.call.Prefixes) == 0 {
		return ""
	}
	now := clock.Now()
	for _, engine := range j.PrefixIndex.Sources(now, j.prefixHashes(), u.Engine()) {
		if v := j.Directory.Engine(engine); v != nil && v.Service() == j.serviceName && !j.Health.Suspect(now, v.ID()) {
			j.log().WithField("upstream", u.ID()).WithField("source", v.ID()).Info("copies prompt")
			return v.Address()
		}
	}
	return ""
}

// recordCached notes that u has read the prompt and tells the other routers.
func (j *job) recordCached(u *directory.Upstream) {
	if !j.service.IsEngine() {
		return
	}
	now := clock.Now()
	for _, p := range j.prefixHashes() {
		use := prefix.Location{Prefix: p, Engine: u.Engine()}
		if j.PrefixIndex.Add(now, use) {
			j.Board.Tell(use)
		}
	}
}
