package edge

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gopkg.in/ini.v1"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/inifile"
)

// Settings are the settings of one router, checked. The platform fills them in
// from a template.
type Settings struct {
	name          string
	failureDomain string
	regions       map[string]string
	callers       string
	readiness     string
	metrics       string
	peers         string
	store         string
	memoryMB      int

	revocation    time.Duration
	configInForce time.Duration
	drain         time.Duration
	grace         time.Duration
	loadFactor    float64
	reuseWindow   time.Duration

	retryRatio  float64
	retrySlack  float64
	retryWindow time.Duration
	coldFactor  float64
	coldSlack   float64
}

// Name returns the router's name, unique in the fleet.
func (s *Settings) Name() string { return s.name }

// FailureDomain returns the failure domain of this host.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Regions returns the region of each failure domain. It must not be changed.
func (s *Settings) Regions() map[string]string { return s.regions }

// Callers returns the IP:PORT that serves callers.
func (s *Settings) Callers() string { return s.callers }

// Readiness returns the IP:PORT that the balancer checks.
func (s *Settings) Readiness() string { return s.readiness }

// Metrics returns the IP:PORT that serves counters and histograms.
func (s *Settings) Metrics() string { return s.metrics }

// Peers returns the IP:PORT that receives datagrams of other routers.
func (s *Settings) Peers() string { return s.peers }

// Store returns the IP:PORT of the platform's store.
func (s *Settings) Store() string { return s.store }

// MemoryMB returns the memory of this process in MB, above which it is killed.
func (s *Settings) MemoryMB() int { return s.memoryMB }

// Revocation returns the time within which a key that was taken away must not
// be honoured any more.
func (s *Settings) Revocation() time.Duration { return s.revocation }

// ConfigInForce returns the time within which a configuration must be in force.
func (s *Settings) ConfigInForce() time.Duration { return s.configInForce }

// Drain returns the time within which a leaving upstream must get no more work.
func (s *Settings) Drain() time.Duration { return s.drain }

// Grace returns the time from the signal to stop to the forced end.
func (s *Settings) Grace() time.Duration { return s.grace }

// LoadFactor returns the multiple of the mean load of a service that no
// upstream may hold.
func (s *Settings) LoadFactor() float64 { return s.loadFactor }

// ReuseWindow returns how long an engine keeps a part of a prompt at least.
func (s *Settings) ReuseWindow() time.Duration { return s.reuseWindow }

// Retries returns the fleet's budget for each service and window: a share of
// its requests, and a number besides.
func (s *Settings) Retries() (ratio, slack float64, window time.Duration) {
	return s.retryRatio, s.retrySlack, s.retryWindow
}

// ColdStart returns what the fleet may send to an upstream in cold start each
// second: a multiple of the rate that it bears, and a number besides.
func (s *Settings) ColdStart() (factor, slack float64) { return s.coldFactor, s.coldSlack }

const (
	expectAddress  = "IP:PORT"
	expectDuration = "a duration from 1ms"
	expectNumber   = "a number from 0"
	// minMemoryMB is what a router without traffic needs.
	minMemoryMB = 32
)

// fields describes all keys; their values go to s. The fallbacks of bounds are
// the strictest that the platform documents.
func (s *Settings) fields() []inifile.Field {
	field := inifile.NewField
	bound := func(target *time.Duration) inifile.Setter {
		return inifile.Duration(target, time.Millisecond, math.MaxInt64)
	}
	number := func(target *float64) inifile.Setter { return inifile.Decimal(target, 0, math.MaxFloat64) }
	return []inifile.Field{
		field("host", "name", "", "a name", inifile.Text(&s.name, inifile.IsSet)),
		field("host", "failure_domain", "", "a name", inifile.Text(&s.failureDomain, inifile.IsSet)),
		field("listen", "callers", "", expectAddress, inifile.Text(&s.callers, inifile.IsAddress)),
		field("listen", "readiness", "", expectAddress, inifile.Text(&s.readiness, inifile.IsAddress)),
		field("listen", "peers", "", expectAddress, inifile.Text(&s.peers, inifile.IsAddress)),
		field("listen", "metrics", "", expectAddress, inifile.Text(&s.metrics, inifile.IsAddress)),
		field("store", "address", "", expectAddress, inifile.Text(&s.store, inifile.IsAddress)),
		field("limits", "memory_mb", "128", "a number of MB from 32", inifile.Integer(&s.memoryMB, minMemoryMB, math.MaxInt32)),
		field("bounds", "revocation", "5s", expectDuration, bound(&s.revocation)),
		field("bounds", "config_in_force", "2s", expectDuration, bound(&s.configInForce)),
		field("bounds", "drain", "2s", expectDuration, bound(&s.drain)),
		field("bounds", "grace", "8s", expectDuration, bound(&s.grace)),
		field("bounds", "load_factor", "2", "a number from 1", inifile.Decimal(&s.loadFactor, 1, math.MaxFloat64)),
		field("bounds", "reuse_window", "10s", expectDuration, bound(&s.reuseWindow)),
		field("retries", "ratio", "0.1", expectNumber, number(&s.retryRatio)),
		field("retries", "slack", "0", expectNumber, number(&s.retrySlack)),
		field("retries", "window", "10s", expectDuration, bound(&s.retryWindow)),
		field("cold_start", "over", "1", expectNumber, number(&s.coldFactor)),
		field("cold_start", "slack", "0", expectNumber, number(&s.coldSlack)),
	}
}

// LoadSettings reads the settings file at path. The error joins one
// inifile.Fault for each wrong or missing key. Sections and keys that are not
// known are ignored, since the platform may add some.
func LoadSettings(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{regions: file.Section("failure_domains").KeysHash()}
	if err := errors.Join(inifile.ReadFilled(path, file, s.fields())...); err != nil {
		return nil, err
	}
	return s, nil
}
