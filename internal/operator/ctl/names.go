package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
	"github.com/hemlockcroft/hemlockcroft/internal/platform/hosts"
)

// The fleet document selects the settings of an upstream by its host list entry.
var _ fleetconfig.Upstream = hosts.Host{}

// hostMatchers holds, for each kind of exception whose name must be in the host
// list, the function that reports whether a host has the name.
var hostMatchers = map[string]func(h hosts.Host, name string) bool{
	fleetconfig.KindUpstream:      func(h hosts.Host, name string) bool { return h.Kind() != hosts.KindRouter && h.ID() == name },
	fleetconfig.KindService:       func(h hosts.Host, name string) bool { return h.Service() == name },
	fleetconfig.KindFailureDomain: func(h hosts.Host, name string) bool { return h.FailureDomain() == name },
}

// checkNewExceptions returns an error if next adds an exception for a name that
// is not in the host list. Exceptions that base already has are not checked,
// since they may outlive their hosts.
func checkNewExceptions(list *hosts.List, base, next *fleetconfig.Document) error {
	for _, kind := range []string{fleetconfig.KindUpstream, fleetconfig.KindService, fleetconfig.KindFailureDomain} {
		var existing []string
		if base != nil {
			existing = base.Exceptions(kind)
		}
		for _, name := range next.Exceptions(kind) {
			if slices.Contains(existing, name) {
				continue
			}
			if err := checkName(list, kind, name); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkName(list *hosts.List, kind, name string) error {
	if list == nil {
		return fmt.Errorf("%s %q: %w", kind, name, ErrNoHostList)
	}
	if !slices.ContainsFunc(list.Hosts(), func(h hosts.Host) bool { return hostMatchers[kind](h, name) }) {
		return fmt.Errorf("%s %q: %w", kind, name, ErrUnknownName)
	}
	return nil
}

// regionOf returns the region of a failure domain, "" if the list has no host in
// the failure domain.
func regionOf(list *hosts.List, failureDomain string) string {
	for _, h := range list.Hosts() {
		if h.FailureDomain() == failureDomain {
			return h.Region()
		}
	}
	return ""
}

// sectionHeader converts the short form of a section on the command line, such
// as service:drafter or exception:workspace:loom, into the section's header
// without brackets.
func sectionHeader(short string) string {
	word, name, hasName := strings.Cut(short, ":")
	if !hasName || strings.Contains(short, `"`) {
		return short
	}
	return word + ` "` + name + `"`
}

// parseOverrides parses arguments of the form KEY=VALUE.
func parseOverrides(args []string) (map[string]string, error) {
	overrides := map[string]string{}
	for _, a := range args {
		key, value, found := strings.Cut(a, "=")
		if _, repeated := overrides[key]; !found || repeated {
			return nil, fmt.Errorf("%q: expected KEY=VALUE, each key once", a)
		}
		overrides[key] = value
	}
	return overrides, nil
}

// parseException parses an argument of the form KIND:NAME.
func parseException(arg string) (kind, name string, err error) {
	kind, name, found := strings.Cut(arg, ":")
	if !found {
		return "", "", fmt.Errorf("%q: expected KIND:NAME", arg)
	}
	return kind, name, nil
}

func compareResponses(a, b routerResponse) int {
	return cmp.Or(cmp.Compare(a.router.id, b.router.id), cmp.Compare(a.router.address, b.router.address))
}
