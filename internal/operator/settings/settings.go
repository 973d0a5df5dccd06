package settings

import (
	"os"
	"strings"
	"time"
)

// Settings holds the validated settings of one daemon.
type Settings struct {
	id               string
	failureDomain    string
	region           string
	callersAddress   string
	routersAddress   string
	operatorsAddress string
	keySecret        []byte

	storeURLs                []string
	storeReadsPerSecond      int
	storeWritesPerSecond     int
	hostListURL              string
	balancerLag              time.Duration
	stopTimeout              time.Duration
	freshnessLimit           time.Duration
	engineReadTimeout        time.Duration
	logLevel                 string
	maxOpenRequests          int
	maxBodyBytes             int
	maxHeaderBytes           int
	requestTimeout           time.Duration
	memoryMB                 int
	maxFDs                   int
	maxConnectionsPerAddress int
	placementTableSize       int
	decisionRingSize         int
	shedLoad                 bool
}

// ID returns the name of this router, unique in the fleet.
func (s *Settings) ID() string { return s.id }

// FailureDomain returns the failure domain of this host.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Region returns the region of this host.
func (s *Settings) Region() string { return s.region }

// CallersAddress returns the IP address and port for callers.
func (s *Settings) CallersAddress() string { return s.callersAddress }

// RoutersAddress returns the IP address and port for other routers.
func (s *Settings) RoutersAddress() string { return s.routersAddress }

// OperatorsAddress returns the IP address and port for operators.
func (s *Settings) OperatorsAddress() string { return s.operatorsAddress }

// KeySecret returns the HMAC key that signs the bearer keys of workspaces.
func (s *Settings) KeySecret() []byte { return s.keySecret }

// StoreURLs returns the base URLs of the key-value service.
func (s *Settings) StoreURLs() []string { return s.storeURLs }

// StoreReadsPerSecond returns the rate limit of reads from the key-value service.
func (s *Settings) StoreReadsPerSecond() int { return s.storeReadsPerSecond }

// StoreWritesPerSecond returns the rate limit of writes to the key-value service.
func (s *Settings) StoreWritesPerSecond() int { return s.storeWritesPerSecond }

// HostListURL returns the URL of the host list.
func (s *Settings) HostListURL() string { return s.hostListURL }

// BalancerLag returns how long a daemon keeps accepting requests during shutdown,
// until the load balancer has stopped sending them.
func (s *Settings) BalancerLag() time.Duration { return s.balancerLag }

// StopTimeout returns the maximum wait for open requests during shutdown.
func (s *Settings) StopTimeout() time.Duration { return s.stopTimeout }

// FreshnessLimit returns the maximum time since the last confirmation of the
// configuration. The daemon admits no new work beyond it.
func (s *Settings) FreshnessLimit() time.Duration { return s.freshnessLimit }

// EngineReadTimeout returns the maximum time to wait for the next byte of an
// engine's stream.
func (s *Settings) EngineReadTimeout() time.Duration { return s.engineReadTimeout }

// LogLevel returns the least severe level that is logged: error, warning, info or
// debug.
func (s *Settings) LogLevel() string { return s.logLevel }

// MaxOpenRequests returns the maximum number of concurrent requests of callers.
func (s *Settings) MaxOpenRequests() int { return s.maxOpenRequests }

// MaxBodyBytes returns the maximum size of a request body.
func (s *Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// MaxHeaderBytes returns the maximum size of a request header.
func (s *Settings) MaxHeaderBytes() int { return s.maxHeaderBytes }

// RequestTimeout returns the maximum duration of one request.
func (s *Settings) RequestTimeout() time.Duration { return s.requestTimeout }

// MemoryMB returns the memory limit of the process in MB, 0 if it is not stated.
func (s *Settings) MemoryMB() int { return s.memoryMB }

// MaxFDs returns the maximum number of open descriptors of the process, 0 for the
// limit that the process has.
func (s *Settings) MaxFDs() int { return s.maxFDs }

// MaxConnectionsPerAddress returns the maximum number of connections from one address
// of callers, 0 for no limit.
func (s *Settings) MaxConnectionsPerAddress() int { return s.maxConnectionsPerAddress }

// PlacementTableSize returns the number of rows in the table of chats that are
// placed away from their home upstream.
func (s *Settings) PlacementTableSize() int { return s.placementTableSize }

// DecisionRingSize returns the number of recent decisions kept for /explain.
func (s *Settings) DecisionRingSize() int { return s.decisionRingSize }

// ShedsLoad reports whether routers decide which calls to plain services are sent while
// a service rejects some because it is full.
func (s *Settings) ShedsLoad() bool { return s.shedLoad }

// Load reads and validates the settings file at path. The error of an invalid file
// lists every invalid setting.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// splitList splits a comma-separated value and drops empty items.
func splitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
