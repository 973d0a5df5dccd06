package forward

import (
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// copySource returns the address of an engine that has a prefix cached which u
// lacks, or "" if there is none. Copying a prefix is several times cheaper and
// faster than computing it.
func (j *job) copySource(u *directory.Upstream) string {
	if !j.service.IsEngine() || len(j.info.Prefixes) == 0 {
		return ""
	}
	now := clock.Now()
	for _, engine := range j.PrefixIndex.Sources(now, j.info.Prefixes, u.Engine()) {
		if v := j.Directory.Engine(engine); v != nil && v.Service() == j.serviceName && !j.Health.Suspect(now, v.ID()) {
			j.log().WithField("upstream", u.ID()).WithField("source", v.ID()).Info("copying prompt prefix from another engine")
			return v.Address()
		}
	}
	return ""
}

// recordCached records that u has the prompt's prefixes cached and reports it
// to the other routers.
func (j *job) recordCached(u *directory.Upstream) {
	if !j.service.IsEngine() {
		return
	}
	now := clock.Now()
	for _, p := range j.info.Prefixes {
		location := prefix.Location{Prefix: p, Engine: u.Engine()}
		if j.PrefixIndex.Add(now, location) {
			j.Gossip.QueueLocation(location)
		}
	}
}
