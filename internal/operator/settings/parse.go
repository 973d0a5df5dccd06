package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/url"
	"regexp"
	"time"

	"gopkg.in/ini.v1"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/inifile"
)

// minSecretBytes is the minimum length of the HMAC key; shorter keys are easily
// guessed.
const minSecretBytes = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func isURL(value string) bool {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	_, _, err = net.SplitHostPort(u.Host)
	return err == nil
}

func isLogLevel(value string) bool {
	switch value {
	case "error", "warning", "info", "debug":
		return true
	}
	return false
}

func (s *Settings) setStore(value string) bool {
	s.storeURLs = splitList(value)
	for _, u := range s.storeURLs {
		if !isURL(u) {
			return false
		}
	}
	return len(s.storeURLs) > 0
}

func (s *Settings) setSecret(value string) bool {
	s.keySecret = []byte(value)
	return len(value) >= minSecretBytes
}

const (
	expectedName    = "a name of lower-case letters, digits, dots and dashes, at most 63 long"
	expectedAddress = "an IP address and port, such as 127.0.0.1:8080"
	expectedURL     = "an http or https URL with a port, such as http://127.0.0.1:2379"
)

// fields describes all keys of the settings file. Their values are stored in s.
func (s *Settings) fields() []inifile.Field {
	field := inifile.NewField
	return []inifile.Field{
		field("daemon", "id", "", expectedName, inifile.Text(&s.id, namePattern.MatchString)),
		field("daemon", "failure_domain", "", expectedName, inifile.Text(&s.failureDomain, namePattern.MatchString)),
		field("daemon", "region", "", expectedName, inifile.Text(&s.region, namePattern.MatchString)),
		field("daemon", "callers", "", expectedAddress, inifile.Text(&s.callersAddress, inifile.IsAddress)),
		field("daemon", "routers", "", expectedAddress, inifile.Text(&s.routersAddress, inifile.IsAddress)),
		field("daemon", "operators", "", expectedAddress, inifile.Text(&s.operatorsAddress, inifile.IsAddress)),
		field("daemon", "key_secret", "", "at least 16 characters", s.setSecret),
		field("daemon", "log_level", "info", "error, warning, info or debug", inifile.Text(&s.logLevel, isLogLevel)),
		field("platform", "store", "", "one or more comma-separated URLs, such as http://127.0.0.1:2379", s.setStore),
		field("platform", "store_reads_per_second", "20", "a number from 1 to 1000", inifile.Integer(&s.storeReadsPerSecond, 1, 1000)),
		field("platform", "store_writes_per_second", "10", "a number from 1 to 1000", inifile.Integer(&s.storeWritesPerSecond, 1, 1000)),
		field("platform", "hosts", "", expectedURL, inifile.Text(&s.hostListURL, isURL)),
		field("platform", "balancer_lag", "5s", "a duration from 0s to 5m", inifile.Duration(&s.balancerLag, 0, 5*time.Minute)),
		field("limits", "freshness", "4s", "a duration from 1s to 10s", inifile.Duration(&s.freshnessLimit, time.Second, 10*time.Second)),
		field("limits", "engine_silence", "9s", "a duration from 3s to 5m", inifile.Duration(&s.engineReadTimeout, 3*time.Second, 5*time.Minute)),
		field("limits", "open_requests", "4000", "a number from 1 to 100000", inifile.Integer(&s.maxOpenRequests, 1, 100000)),
		field("limits", "max_body", "8388608", "bytes from 1024 to 268435456", inifile.Integer(&s.maxBodyBytes, 1024, 256<<20)),
		field("limits", "max_header", "32768", "bytes from 1024 to 1048576", inifile.Integer(&s.maxHeaderBytes, 1024, 1<<20)),
		field("limits", "memory_mb", "0", "a number of MB from 32, or 0", inifile.Integer(&s.memoryMB, 0, math.MaxInt32)),
		field("limits", "max_fds", "0", "a number from 0", inifile.Integer(&s.maxFDs, 0, math.MaxInt32)),
		field("limits", "connections_per_address", "0", "a number from 0", inifile.Integer(&s.maxConnectionsPerAddress, 0, math.MaxInt32)),
		field("limits", "request_time", "10m", "a duration from 1s to 24h", inifile.Duration(&s.requestTimeout, time.Second, 24*time.Hour)),
		field("limits", "stop_timeout", "15m", "a duration from 1s to 25h", inifile.Duration(&s.stopTimeout, time.Second, 25*time.Hour)),
		field("limits", "chat_rows", "16384", "a number from 16 to 1000000", inifile.Integer(&s.placementTableSize, 16, 1000000)),
		field("limits", "explain_events", "4096", "a number from 16 to 65536", inifile.Integer(&s.decisionRingSize, 16, 65536)),
		field("limits", "shed_load", "false", "true or false", inifile.Boolean(&s.shedLoad)),
	}
}

// Parse parses and validates the text of a settings file; file is its name in error
// messages. The error joins one inifile.SettingError for each invalid, missing or
// unknown key.
func Parse(file string, data []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s := &Settings{}
	errs := inifile.UnknownKeys(file, f, s.fields())
	errs = append(errs, inifile.Read(file, f, s.fields())...)
	if s.requestTimeout > s.stopTimeout {
		errs = append(errs, inifile.NewSettingError(file, "limits", "stop_timeout", s.stopTimeout.String(),
			fmt.Sprintf("at least request_time (%s), since a stop must not cut off a request", s.requestTimeout)))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return s, nil
}
