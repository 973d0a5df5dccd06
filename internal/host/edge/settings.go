package edge

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"gopkg.in/ini.v1"
)

// Settings are the settings of one router, checked. The platform fills them in
// from a template.
type Settings struct {
	Name          string
	FailureDomain string
	// Regions names the region of each failure domain.
	Regions   map[string]string
	Callers   string
	Readiness string
	Metrics   string
	Peers     string
	Store     string
	MemoryMB  int
	// Revocation is the time within which a key that was taken away must not
	// be honoured any more.
	Revocation time.Duration
	// ConfigInForce is the time within which a configuration must be in force.
	ConfigInForce time.Duration
	// Drain is the time within which a leaving upstream must get no more work.
	Drain       time.Duration
	Grace       time.Duration
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	ColdOver    float64
	ColdSlack   float64
}

// Fault is one wrong setting.
type Fault struct {
	section, key, value, want string
}

// Error names the section, key, value and what is expected.
func (f *Fault) Error() string {
	return fmt.Sprintf("[%s] %s = %q: want %s", f.section, f.key, f.value, f.want)
}

// field describes one key. An empty fallback makes the key required.
type field struct {
	section, key, fallback, want string
	set                          func(s *Settings, value string) bool
}

// The fallbacks of bounds are the strictest that the platform documents.
var fields = []field{
	{"host", "name", "", "a name", text(func(s *Settings) *string { return &s.Name })},
	{"host", "failure_domain", "", "a name", text(func(s *Settings) *string { return &s.FailureDomain })},
	{"listen", "callers", "", "IP:PORT", address(func(s *Settings) *string { return &s.Callers })},
	{"listen", "readiness", "", "IP:PORT", address(func(s *Settings) *string { return &s.Readiness })},
	{"listen", "peers", "", "IP:PORT", address(func(s *Settings) *string { return &s.Peers })},
	{"listen", "metrics", "", "IP:PORT", address(func(s *Settings) *string { return &s.Metrics })},
	{"store", "address", "", "IP:PORT", address(func(s *Settings) *string { return &s.Store })},
	{"limits", "memory_mb", "128", "a number of MB from 32", func(s *Settings, v string) bool {
		n, err := strconv.Atoi(v)
		s.MemoryMB = n
		return err == nil && n >= 32
	}},
	{"bounds", "revocation", "5s", "a duration", duration(func(s *Settings) *time.Duration { return &s.Revocation })},
	{"bounds", "config_in_force", "2s", "a duration", duration(func(s *Settings) *time.Duration { return &s.ConfigInForce })},
	{"bounds", "drain", "2s", "a duration", duration(func(s *Settings) *time.Duration { return &s.Drain })},
	{"bounds", "grace", "8s", "a duration", duration(func(s *Settings) *time.Duration { return &s.Grace })},
	{"retries", "ratio", "0.1", "a number from 0", number(func(s *Settings) *float64 { return &s.RetryRatio })},
	{"retries", "slack", "0", "a number from 0", number(func(s *Settings) *float64 { return &s.RetrySlack })},
	{"retries", "window", "10s", "a duration", duration(func(s *Settings) *time.Duration { return &s.RetryWindow })},
	{"cold_start", "over", "1", "a number from 0", number(func(s *Settings) *float64 { return &s.ColdOver })},
	{"cold_start", "slack", "0", "a number from 0", number(func(s *Settings) *float64 { return &s.ColdSlack })},
}

func text(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		*target(s) = v
		return true
	}
}

func address(target func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		*target(s) = v
		a, err := netip.ParseAddrPort(v)
		return err == nil && a.Port() != 0
	}
}

func duration(target func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		d, err := time.ParseDuration(v)
		*target(s) = d
		return err == nil && d > 0
	}
}

func number(target func(*Settings) *float64) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		f, err := strconv.ParseFloat(v, 64)
		*target(s) = f
		return err == nil && f >= 0
	}
}

// LoadSettings reads the settings file at path. The error names every fault.
// Sections and keys that are not known are ignored, since the platform may add
// some.
func LoadSettings(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s := &Settings{Regions: file.Section("failure_domains").KeysHash()}
	var faults []error
	for _, f := range fields {
		value := file.Section(f.section).Key(f.key).String()
		if value == "" {
			value = f.fallback
		}
		if value == "" || !f.set(s, value) {
			faults = append(faults, &Fault{f.section, f.key, value, f.want})
		}
	}
	if err := errors.Join(faults...); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}
