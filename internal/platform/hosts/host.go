package hosts

import (
	"errors"
	"fmt"
	"net"
)

// The kinds of a host.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
	KindRouter = "router"
)

// The values of the label "state".
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Fields are the values from which NewHost makes a Host.
type Fields struct {
	ID               string
	Address          string // IP address and port
	Kind             string // Engine, Plain or Router
	Service          string // not for routers
	Model            string // engines only
	FailureDomain    string
	Region           string
	OperatorsAddress string // operators' address, routers only
	Draining         bool
}

// Host is one upstream or router of the host list, a comparable value.
type Host struct{ fields Fields }

// NewHost returns a host without checking the fields.
func NewHost(f Fields) Host { return Host{fields: f} }

// ID returns the host's name, unique in the list.
func (h Host) ID() string { return h.fields.ID }

// Address returns the IP address and port that serve requests.
func (h Host) Address() string { return h.fields.Address }

// Kind returns Engine, Plain or Router.
func (h Host) Kind() string { return h.fields.Kind }

// Service returns the name of the service, "" for a router.
func (h Host) Service() string { return h.fields.Service }

// Model returns the model that an engine serves, "" for other kinds.
func (h Host) Model() string { return h.fields.Model }

// FailureDomain returns the failure domain that the host is in.
func (h Host) FailureDomain() string { return h.fields.FailureDomain }

// Region returns the region that the host is in.
func (h Host) Region() string { return h.fields.Region }

// OperatorsAddress returns the IP address and port of a router's operators'
// endpoint, "" if the list does not state it.
func (h Host) OperatorsAddress() string { return h.fields.OperatorsAddress }

// Draining reports whether the list announces that the host stops soon.
func (h Host) Draining() bool { return h.fields.Draining }

// Pool returns "region/service/model", the unit of the load bound.
func (h Host) Pool() string { return h.fields.Region + "/" + h.fields.Service + "/" + h.fields.Model }

// labels are the known labels of an entry. Others are ignored, since other
// readers of the list may need them.
type labels struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Service       string `json:"service"`
	Model         string `json:"model"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
	Operators     string `json:"operators"`
}

// label is a label that must not be empty for some kinds.
type label struct {
	name  string
	value func(l *labels) string
}

var (
	idLabel      = label{"id", func(l *labels) string { return l.ID }}
	serviceLabel = label{"service", func(l *labels) string { return l.Service }}
	modelLabel   = label{"model", func(l *labels) string { return l.Model }}
	domainLabel  = label{"failure_domain", func(l *labels) string { return l.FailureDomain }}
	regionLabel  = label{"region", func(l *labels) string { return l.Region }}
)

// requiredLabels lists, for each kind, the labels that must not be empty.
var requiredLabels = map[string][]label{
	KindEngine: {idLabel, serviceLabel, modelLabel, domainLabel, regionLabel},
	KindPlain:  {idLabel, serviceLabel, domainLabel, regionLabel},
	KindRouter: {idLabel, domainLabel, regionLabel},
}

// drainingStates maps the label "state" to whether the host is leaving.
var drainingStates = map[string]bool{stateLive: false, stateLeaving: true}

// targetGroup is one entry of the published list.
type targetGroup struct {
	Targets []string `json:"targets"`
	Labels  labels   `json:"labels"`
}

// host checks a published entry and converts it.
func (g *targetGroup) host() (Host, error) {
	l := &g.Labels
	if len(g.Targets) != 1 {
		return Host{}, fmt.Errorf("host %q: %d targets, expected 1", l.ID, len(g.Targets))
	}
	var faults []error
	required, known := requiredLabels[l.Kind]
	if !known {
		faults = append(faults, fmt.Errorf("host %q: kind %q, expected engine, plain or router", l.ID, l.Kind))
	}
	for _, label := range required {
		if label.value(l) == "" {
			faults = append(faults, fmt.Errorf("host %q: label %q is missing", l.ID, label.name))
		}
	}
	draining, known := drainingStates[l.State]
	if !known {
		faults = append(faults, fmt.Errorf("host %q: state %q, expected live or leaving", l.ID, l.State))
	}
	faults = append(faults, checkAddress(l.ID, g.Targets[0]))
	if l.Operators != "" {
		faults = append(faults, checkAddress(l.ID, l.Operators))
	}
	h := NewHost(Fields{
		ID: l.ID, Address: g.Targets[0], Kind: l.Kind, Service: l.Service, Model: l.Model,
		FailureDomain: l.FailureDomain, Region: l.Region, OperatorsAddress: l.Operators, Draining: draining,
	})
	return h, errors.Join(faults...)
}

func checkAddress(id, address string) error {
	name, port, err := net.SplitHostPort(address)
	if err != nil || name == "" || port == "" {
		return fmt.Errorf("host %q: address %q, expected an IP address and port", id, address)
	}
	return nil
}
