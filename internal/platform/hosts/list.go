package hosts

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// upstreamKey is the key of a list's index of upstreams. An empty service stands
// for all services that have the model.
type upstreamKey struct{ kind, service, model, region string }

// List is an immutable host list. The slices that it returns are shared and
// must not be changed.
type List struct {
	hosts     []Host
	byID      map[string]int // index in hosts
	upstreams map[upstreamKey][]Host
	models    map[string][]string // by region
	routers   []Host
}

// NewList returns a list of the hosts, ordered by id. Of several hosts with the
// same id it keeps the first.
func NewList(all []Host) *List {
	l := &List{
		byID:      make(map[string]int, len(all)),
		upstreams: map[upstreamKey][]Host{},
		models:    map[string][]string{},
	}
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b Host) int { return cmp.Compare(a.ID(), b.ID()) })
	l.hosts = slices.CompactFunc(sorted, func(a, b Host) bool { return a.ID() == b.ID() })
	counts := map[upstreamKey]int{}
	for i, h := range l.hosts {
		l.byID[h.ID()] = i
		for _, key := range h.upstreamKeys() {
			counts[key]++
		}
	}
	for _, h := range l.hosts {
		l.add(h, counts)
	}
	for _, models := range l.models {
		slices.Sort(models)
	}
	return l
}

// upstreamKeys returns the keys of the host in a list's index of upstreams, none
// for a router.
func (h Host) upstreamKeys() []upstreamKey {
	exact := upstreamKey{h.Kind(), h.Service(), h.Model(), h.Region()}
	switch h.Kind() {
	case KindEngine:
		return []upstreamKey{exact, {KindEngine, "", h.Model(), h.Region()}}
	case KindPlain:
		return []upstreamKey{exact}
	}
	return nil
}

// add adds a host to the index. counts holds the number of hosts of each key, so
// that each slice is allocated at its final size.
func (l *List) add(h Host, counts map[upstreamKey]int) {
	if h.Kind() == KindRouter {
		l.routers = append(l.routers, h)
	}
	for _, key := range h.upstreamKeys() {
		if l.upstreams[key] == nil {
			l.upstreams[key] = make([]Host, 0, counts[key])
			if key.kind == KindEngine && key.service == "" {
				l.models[key.region] = append(l.models[key.region], key.model)
			}
		}
		l.upstreams[key] = append(l.upstreams[key], h)
	}
}

// typicalEntryBytes is the typical size of an entry of a published list.
const typicalEntryBytes = 180

// ParseList parses a published list. Invalid entries are left out and reported as
// faults, so that one of them does not affect the others; err reports a text that
// is no list. Entries are decoded one at a time, since decoding a list of 13,000
// hosts as a whole took 30 MB.
func ParseList(text []byte) (l *List, faults []error, err error) {
	entries := arrayScanner{rest: text}
	parsed := make([]Host, 0, len(text)/typicalEntryBytes)
	seen := make(map[string]bool, cap(parsed))
	shared := interner{}
	for {
		entry, err := entries.next()
		if err != nil {
			return nil, nil, fmt.Errorf("host list is not in service-discovery format: %w", err)
		}
		if entry == nil {
			return NewList(parsed), faults, nil
		}
		h, err := parseEntry(entry)
		if err == nil && seen[h.ID()] {
			err = fmt.Errorf("host %q: listed twice", h.ID())
		}
		if err != nil {
			faults = append(faults, err)
			continue
		}
		seen[h.ID()] = true
		parsed = append(parsed, shared.intern(h))
	}
}

func parseEntry(text []byte) (Host, error) {
	var g targetGroup
	if err := json.Unmarshal(text, &g); err != nil {
		return Host{}, fmt.Errorf("entry %.60q: %w", text, err)
	}
	return g.toHost()
}

// interner holds one copy of each kind, service, model, failure domain and
// region. There are few of them, and all hosts of a list share the copies.
type interner map[string]string

func (n interner) intern(h Host) Host {
	for _, field := range []*string{&h.fields.Kind, &h.fields.Service, &h.fields.Model, &h.fields.FailureDomain, &h.fields.Region} {
		interned, ok := n[*field]
		if !ok {
			n[*field], interned = *field, *field
		}
		*field = interned
	}
	return h
}

// Hosts returns all hosts, ordered by id.
func (l *List) Hosts() []Host { return l.hosts }

// Lookup returns the host with the id and whether it is in the list.
func (l *List) Lookup(id string) (Host, bool) {
	i, ok := l.byID[id]
	if !ok {
		return Host{}, false
	}
	return l.hosts[i], true
}

// Engines returns the engines of a model in a region, including draining ones,
// ordered by id. The service "" stands for all services.
func (l *List) Engines(service, model, region string) []Host {
	return l.upstreams[upstreamKey{KindEngine, service, model, region}]
}

// Models returns the sorted names of the models that have an engine in the
// region.
func (l *List) Models(region string) []string { return l.models[region] }

// PlainWorkers returns the workers of a plain service in a region, including
// draining ones, ordered by id.
func (l *List) PlainWorkers(service, region string) []Host {
	return l.upstreams[upstreamKey{KindPlain, service, "", region}]
}

// Routers returns all routers, including draining ones, ordered by id.
func (l *List) Routers() []Host { return l.routers }

// FailureDomains returns the sorted names of the failure domains that have a
// host in the list.
func (l *List) FailureDomains() []string {
	names := make([]string, len(l.hosts))
	for i, h := range l.hosts {
		names[i] = h.FailureDomain()
	}
	slices.Sort(names)
	return slices.Compact(names)
}
