package fleet

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Document is an immutable, checked fleet configuration.
type Document struct {
	text     []byte
	sections map[sectionID]section
	fleet    fleetSection
	classes  map[string]Class
}

// Upstream is what a document must know of an upstream.
type Upstream interface {
	ID() string
	Service() string
	Model() string
	FailureDomain() string
}

// Version returns the number of the document, which grows with each change, 0
// if it was never written.
func (d *Document) Version() uint64 { return uint64(d.fleet.version) }

// Mark returns the random mark of the writer, "" if the document was never
// written.
func (d *Document) Mark() string { return d.fleet.mark }

// Text returns a copy of the document's text.
func (d *Document) Text() []byte { return bytes.Clone(d.text) }

// WeightSlots returns how many loads of weights may start in one interval in
// the whole fleet.
func (d *Document) WeightSlots() int { return d.fleet.weightSlots }

// WeightInterval returns the interval that WeightSlots counts for.
func (d *Document) WeightInterval() time.Duration { return d.fleet.weightInterval }

// UpstreamPolicy returns the settings of an upstream, merged in the order built-in,
// defaults, service, model, and exceptions of the service, the failure domain
// and the upstream; the later ones win.
func (d *Document) UpstreamPolicy(u Upstream) Policy {
	s := builtInSettings
	d.apply(
		&s,
		sectionID{sectionType: "defaults"},
		sectionID{sectionType: "service", name: u.Service()},
		sectionID{sectionType: "model", name: u.Model()},
		sectionID{"exception", KindService, u.Service()},
		sectionID{"exception", KindFailureDomain, u.FailureDomain()},
		sectionID{"exception", KindUpstream, u.ID()},
	)
	return s.policy
}

// Workspace returns the settings of a workspace: built-in, defaults, exception.
func (d *Document) Workspace(name string) Workspace {
	s := builtInSettings
	d.apply(&s, sectionID{sectionType: "defaults"}, sectionID{"exception", KindWorkspace, name})
	return s.workspace
}

// Class returns the settings of a priority class. If there is no such class it
// returns those of "standard" and false.
func (d *Document) Class(name string) (Class, bool) {
	c, known := d.classes[name]
	if !known {
		c = d.classes[standardClass]
	}
	return c, known
}

// mergeClasses returns the settings of all classes: built-in, class section.
func (d *Document) mergeClasses() map[string]Class {
	merged := map[string]Class{}
	for name, priority := range classPriorities {
		s := settings{class: Class{priority: priority, queueDeadline: maxQueueDeadline}}
		d.apply(&s, sectionID{sectionType: "class", name: name})
		merged[name] = s.class
	}
	for name, c := range merged {
		for _, other := range merged {
			if other.priority > c.priority {
				c.rank++
			}
		}
		merged[name] = c
	}
	return merged
}

// DomainOut reports whether operators have taken a failure domain out of
// service, and why.
func (d *Document) DomainOut(failureDomain string) (reason string, out bool) {
	var s settings
	d.apply(&s, sectionID{"exception", KindFailureDomain, failureDomain})
	return s.reason, s.policy.domainOut
}

// Exception returns the values of an exception as written, reason and author
// included, and whether there is one.
func (d *Document) Exception(kind, name string) (map[string]string, bool) {
	s, ok := d.sections[sectionID{"exception", kind, name}]
	return maps.Clone(s.values), ok
}

// Exceptions returns the sorted names that have an exception of a kind.
func (d *Document) Exceptions(kind string) []string {
	var names []string
	for _, id := range d.sectionIDs() {
		if id.kind == kind {
			names = append(names, id.name)
		}
	}
	return names
}

// apply changes s by the sections in the given order; missing ones are passed
// over.
func (d *Document) apply(s *settings, ids ...sectionID) {
	for _, id := range ids {
		for _, set := range d.sections[id].setters {
			set(s)
		}
	}
}

// sectionIDs returns all sections in a fixed order.
func (d *Document) sectionIDs() []sectionID {
	return slices.SortedFunc(maps.Keys(d.sections), func(a, b sectionID) int {
		return cmp.Or(cmp.Compare(a.sectionType, b.sectionType), cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
}

// allowedKeys returns the sorted names of the keys that a section may have.
func allowedKeys(in scope) []string {
	var names []string
	for name, k := range keySchemas {
		if k.scope&in != 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
