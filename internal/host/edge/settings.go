package edge

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gopkg.in/ini.v1"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/inifile"
)

// Settings are the validated settings of one router. The platform generates the
// file from a template.
type Settings struct {
	name                     string
	failureDomain            string
	regions                  map[string]string
	callersAddress           string
	readinessAddress         string
	metricsAddress           string
	peersAddress             string
	storeAddress             string
	memoryMB                 int
	maxFDs                   int
	maxConnectionsPerAddress int

	maxRevocationDelay time.Duration
	maxConfigDelay     time.Duration
	maxDrainDelay      time.Duration
	gracePeriod        time.Duration
	loadFactor         float64
	reuseWindow        time.Duration

	retryRatio  float64
	retrySlack  float64
	retryWindow time.Duration
	exposeShare float64
	exposeSlack float64
	coldFactor  float64
	coldSlack   float64

	shedLoad bool
}

// Name returns the router's name, unique in the fleet.
func (s *Settings) Name() string { return s.name }

// FailureDomain returns the failure domain of this host.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Regions returns the region of each failure domain. The map must not be changed.
func (s *Settings) Regions() map[string]string { return s.regions }

// CallersAddress returns the IP:PORT that serves callers.
func (s *Settings) CallersAddress() string { return s.callersAddress }

// ReadinessAddress returns the IP:PORT that the balancer checks.
func (s *Settings) ReadinessAddress() string { return s.readinessAddress }

// MetricsAddress returns the IP:PORT that serves counters and histograms.
func (s *Settings) MetricsAddress() string { return s.metricsAddress }

// PeersAddress returns the IP:PORT that receives datagrams of other routers.
func (s *Settings) PeersAddress() string { return s.peersAddress }

// StoreAddress returns the IP:PORT of the platform's store.
func (s *Settings) StoreAddress() string { return s.storeAddress }

// MemoryMB returns the memory limit of the process in MB, above which it is
// killed.
func (s *Settings) MemoryMB() int { return s.memoryMB }

// MaxFDs returns the maximum number of open descriptors of the process, 0 for the
// limit that the process has.
func (s *Settings) MaxFDs() int { return s.maxFDs }

// MaxConnectionsPerAddress returns the maximum number of connections from one address
// of callers, 0 for no limit.
func (s *Settings) MaxConnectionsPerAddress() int { return s.maxConnectionsPerAddress }

// MaxRevocationDelay returns the time within which a revoked key must no longer
// be accepted.
func (s *Settings) MaxRevocationDelay() time.Duration { return s.maxRevocationDelay }

// MaxConfigDelay returns the time within which a new configuration must become
// active.
func (s *Settings) MaxConfigDelay() time.Duration { return s.maxConfigDelay }

// MaxDrainDelay returns the time within which a draining upstream must stop
// getting new work.
func (s *Settings) MaxDrainDelay() time.Duration { return s.maxDrainDelay }

// GracePeriod returns the time between the signal to stop and the forced
// termination.
func (s *Settings) GracePeriod() time.Duration { return s.gracePeriod }

// LoadFactor returns the maximum load of an upstream as a multiple of the mean
// load of its service.
func (s *Settings) LoadFactor() float64 { return s.loadFactor }

// ReuseWindow returns the minimum time for which an engine keeps a prompt
// prefix cached.
func (s *Settings) ReuseWindow() time.Duration { return s.reuseWindow }

// Retries returns the fleet's retry budget per service and window: a ratio of its
// requests, plus a constant number.
func (s *Settings) Retries() (ratio, slack float64, window time.Duration) {
	return s.retryRatio, s.retrySlack, s.retryWindow
}

// Exposure returns the bound on the requests that a bad version of a service may get: a
// share of all its requests in the duration of the roll-out, plus a number of requests.
func (s *Settings) Exposure() (share, slack float64) { return s.exposeShare, s.exposeSlack }

// ColdStart returns the fleet's rate limit for an upstream in cold start: a
// multiple of the rate that the upstream can sustain, plus a constant number of
// requests per second.
func (s *Settings) ColdStart() (factor, slack float64) { return s.coldFactor, s.coldSlack }

// ShedsLoad reports whether routers decide which requests to plain services are sent
// while upstreams reject some because they are full.
func (s *Settings) ShedsLoad() bool { return s.shedLoad }

const (
	expectedAddress  = "IP:PORT"
	expectedDuration = "a duration from 1ms"
	expectedNumber   = "a number from 0"
	expectedCount    = "a whole number from 0"
	// minMemoryMB is what a router without traffic needs.
	minMemoryMB = 32
)

// fields returns the definitions of all keys, which store their values in s. The
// defaults of the bounds are the strictest values that the platform documents.
func (s *Settings) fields() []inifile.Field {
	field := inifile.NewField
	bound := func(target *time.Duration) inifile.Setter {
		return inifile.Duration(target, time.Millisecond, math.MaxInt64)
	}
	number := func(target *float64) inifile.Setter { return inifile.Decimal(target, 0, math.MaxFloat64) }
	return []inifile.Field{
		field("host", "name", "", "a name", inifile.Text(&s.name, inifile.IsNotEmpty)),
		field("host", "failure_domain", "", "a name", inifile.Text(&s.failureDomain, inifile.IsNotEmpty)),
		field("listen", "callers", "", expectedAddress, inifile.Text(&s.callersAddress, inifile.IsAddress)),
		field("listen", "readiness", "", expectedAddress, inifile.Text(&s.readinessAddress, inifile.IsAddress)),
		field("listen", "peers", "", expectedAddress, inifile.Text(&s.peersAddress, inifile.IsAddress)),
		field("listen", "metrics", "", expectedAddress, inifile.Text(&s.metricsAddress, inifile.IsAddress)),
		field("store", "address", "", expectedAddress, inifile.Text(&s.storeAddress, inifile.IsAddress)),
		field("limits", "memory_mb", "128", "a number of MB from 32", inifile.Integer(&s.memoryMB, minMemoryMB, math.MaxInt32)),
		field("limits", "max_fds", "0", expectedCount, inifile.Integer(&s.maxFDs, 0, math.MaxInt32)),
		field("limits", "connections_per_address", "0", expectedCount, inifile.Integer(&s.maxConnectionsPerAddress, 0, math.MaxInt32)),
		field("bounds", "revocation", "5s", expectedDuration, bound(&s.maxRevocationDelay)),
		field("bounds", "config_in_force", "2s", expectedDuration, bound(&s.maxConfigDelay)),
		field("bounds", "drain", "2s", expectedDuration, bound(&s.maxDrainDelay)),
		field("bounds", "grace", "8s", expectedDuration, bound(&s.gracePeriod)),
		field("bounds", "load_factor", "2", "a number from 1", inifile.Decimal(&s.loadFactor, 1, math.MaxFloat64)),
		field("bounds", "reuse_window", "10s", expectedDuration, bound(&s.reuseWindow)),
		field("retries", "ratio", "0.1", expectedNumber, number(&s.retryRatio)),
		field("retries", "slack", "0", expectedNumber, number(&s.retrySlack)),
		field("retries", "window", "10s", expectedDuration, bound(&s.retryWindow)),
		field("rollout", "exposure", "0.1", "a share from 0 to 1", inifile.Decimal(&s.exposeShare, 0, 1)),
		field("rollout", "slack", "0", expectedNumber, number(&s.exposeSlack)),
		field("cold_start", "over", "1", expectedNumber, number(&s.coldFactor)),
		field("cold_start", "slack", "0", expectedNumber, number(&s.coldSlack)),
		field("shedding", "enabled", "false", "true or false", inifile.Boolean(&s.shedLoad)),
	}
}

// LoadSettings reads the settings file at path. The error joins one
// inifile.SettingError per invalid or missing key. Unknown sections and keys are
// ignored, since the platform may add some.
func LoadSettings(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{regions: file.Section("failure_domains").KeysHash()}
	if err := errors.Join(inifile.ReadRendered(path, file, s.fields())...); err != nil {
		return nil, err
	}
	return s, nil
}
