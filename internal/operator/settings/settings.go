package settings

import (
	"os"
	"strings"
	"time"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	id               string
	failureDomain    string
	region           string
	callersAddress   string
	routersAddress   string
	operatorsAddress string
	keySecret        []byte

	storeURLs            []string
	storeReadsPerSecond  int
	storeWritesPerSecond int
	hostListURL          string
	balancerLag          time.Duration
	stopTimeout          time.Duration
	freshnessLimit       time.Duration
	engineReadTimeout    time.Duration
	logLevel             string
	maxOpenRequests      int
	maxBodyBytes         int
	maxHeaderBytes       int
	requestTimeout       time.Duration
	placementTableSize   int
	decisionRingSize     int
}

// ID returns the name of this router, unique in the fleet.
func (s *Settings) ID() string { return s.id }

// FailureDomain returns the failure domain of this host.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Region returns the region of this host.
func (s *Settings) Region() string { return s.region }

// CallersAddress returns the host:port that serves callers.
func (s *Settings) CallersAddress() string { return s.callersAddress }

// RoutersAddress returns the host:port that serves other routers.
func (s *Settings) RoutersAddress() string { return s.routersAddress }

// OperatorsAddress returns the host:port that serves operators.
func (s *Settings) OperatorsAddress() string { return s.operatorsAddress }

// KeySecret returns the key that signs the keys of workspaces.
func (s *Settings) KeySecret() []byte { return s.keySecret }

// StoreURLs returns the base URLs of the key-value service.
func (s *Settings) StoreURLs() []string { return s.storeURLs }

// StoreReadsPerSecond returns the calls a second that this daemon may read from the key-value service.
func (s *Settings) StoreReadsPerSecond() int { return s.storeReadsPerSecond }

// StoreWritesPerSecond returns the calls a second that this daemon may write to the key-value service.
func (s *Settings) StoreWritesPerSecond() int { return s.storeWritesPerSecond }

// HostListURL returns the URL of the host list.
func (s *Settings) HostListURL() string { return s.hostListURL }

// BalancerLag returns how long a stopping daemon goes on accepting requests.
func (s *Settings) BalancerLag() time.Duration { return s.balancerLag }

// StopTimeout returns the longest wait for open requests at a stop.
func (s *Settings) StopTimeout() time.Duration { return s.stopTimeout }

// FreshnessLimit returns the age of the configuration above which no new work is taken.
func (s *Settings) FreshnessLimit() time.Duration { return s.freshnessLimit }

// EngineReadTimeout returns the longest time without a byte from an engine in a
// stream.
func (s *Settings) EngineReadTimeout() time.Duration { return s.engineReadTimeout }

// LogLevel returns the least severe level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// MaxOpenRequests returns the largest number of requests open at a time.
func (s *Settings) MaxOpenRequests() int { return s.maxOpenRequests }

// MaxBodyBytes returns the largest request body in bytes.
func (s *Settings) MaxBodyBytes() int { return s.maxBodyBytes }

// MaxHeaderBytes returns the largest request header in bytes.
func (s *Settings) MaxHeaderBytes() int { return s.maxHeaderBytes }

// RequestTimeout returns the longest time that one request may take.
func (s *Settings) RequestTimeout() time.Duration { return s.requestTimeout }

// PlacementTableSize returns the size of the placement table for chats away from home.
func (s *Settings) PlacementTableSize() int { return s.placementTableSize }

// DecisionRingSize returns how many recent decisions are kept for explain.
func (s *Settings) DecisionRingSize() int { return s.decisionRingSize }

// Load reads and checks the file at path; the error lists every fault.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// splitList splits a comma-separated value.
func splitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
