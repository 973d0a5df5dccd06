package hosts

import (
	"errors"
	"fmt"
	"net/netip"
	"unicode/utf8"
)

// Kinds of hosts.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
	KindRouter = "router"
)

// Values of the label "state". A leaving host is draining: it stops soon.
const (
	stateLive     = "live"
	stateDraining = "leaving"
)

// Fields holds the values of a Host for NewHost.
type Fields struct {
	ID               string
	Address          string // IP address and port
	Kind             string // KindEngine, KindPlain or KindRouter
	Service          string // "" for routers
	Model            string // "" for other kinds than engines
	FailureDomain    string
	Region           string
	OperatorsAddress string // IP address and port of a router's operators' endpoint
	Draining         bool
}

// Host is one upstream or router of the host list. Hosts can be compared with ==.
type Host struct{ fields Fields }

// NewHost returns a host with the fields, which it does not validate.
func NewHost(f Fields) Host { return Host{fields: f} }

// ID returns the host's id, which is unique in the list.
func (h Host) ID() string { return h.fields.ID }

// Address returns the IP address and port at which the host serves requests.
func (h Host) Address() string { return h.fields.Address }

// Kind returns KindEngine, KindPlain or KindRouter.
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
// endpoint, "" if the list does not contain it.
func (h Host) OperatorsAddress() string { return h.fields.OperatorsAddress }

// Draining reports whether the host's state in the list is "leaving": it stops
// soon.
func (h Host) Draining() bool { return h.fields.Draining }

// Pool returns the name of the host's pool, "region/service/model". Load is
// bounded relative to the mean load of a pool.
func (h Host) Pool() string { return h.fields.Region + "/" + h.fields.Service + "/" + h.fields.Model }

// labels are the known labels of an entry. Unknown labels are ignored, since they
// may be meant for other readers of the list.
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

// label is the name of a label and a function that returns its value.
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

// requiredLabels holds, for each kind, the labels that must not be empty.
var requiredLabels = map[string][]label{
	KindEngine: {idLabel, serviceLabel, modelLabel, domainLabel, regionLabel},
	KindPlain:  {idLabel, serviceLabel, domainLabel, regionLabel},
	KindRouter: {idLabel, domainLabel, regionLabel},
}

// drainingStates holds, for each value of the label "state", whether the host is
// draining.
var drainingStates = map[string]bool{stateLive: false, stateDraining: true}

// maxIDBytes bounds the id of a host, which is part of keys and messages.
const maxIDBytes = 256

// targetGroup is one entry of the published list, as the format calls it.
type targetGroup struct {
	Targets []string `json:"targets"`
	Labels  labels   `json:"labels"`
}

// toHost validates the entry and returns its host. The error joins all faults.
func (g *targetGroup) toHost() (Host, error) {
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
	if len(l.ID) > maxIDBytes || !utf8.ValidString(l.ID) {
		faults = append(faults, fmt.Errorf("host %.40q: id too long or not UTF-8", l.ID))
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
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
		return fmt.Errorf("host %q: address %.40q, expected an IP address and a port from 1 to 65535", id, address)
	}
	return nil
}
