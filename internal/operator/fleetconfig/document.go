package fleetconfig

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Document is an immutable, validated fleet configuration.
type Document struct {
	text     []byte
	sections map[sectionID]section
	fleet    fleetSection
	classes  map[string]Class
}

// Upstream has the attributes of an upstream by which a document selects its
// settings.
type Upstream interface {
	ID() string
	Service() string
	Model() string
	FailureDomain() string
}

// Version returns the version, which each write to the store increments. It is 0
// if the document was never written.
func (d *Document) Version() uint64 { return uint64(d.fleet.version) }

// Mark returns the random mark of the write that stored the document, "" if it
// was never written.
func (d *Document) Mark() string { return d.fleet.mark }

// Text returns a copy of the document's text.
func (d *Document) Text() []byte { return bytes.Clone(d.text) }

// WeightSlots returns how many upstreams of the whole fleet may start to load
// model weights in one WeightInterval.
func (d *Document) WeightSlots() int { return d.fleet.weightSlots }

// WeightInterval returns the interval that WeightSlots applies to.
func (d *Document) WeightInterval() time.Duration { return d.fleet.weightInterval }

// UpstreamPolicy returns the settings of an upstream. Later values replace
// earlier ones in this order: built-in values, defaults, service, model, and the
// exceptions of the service, the failure domain and the upstream.
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

// Workspace returns the settings of a workspace: the built-in values, replaced
// by the defaults and then by the exception of the workspace.
func (d *Document) Workspace(name string) Workspace {
	s := builtInSettings
	d.apply(&s, sectionID{sectionType: "defaults"}, sectionID{"exception", KindWorkspace, name})
	return s.workspace
}

// Class returns the settings of a priority class. For an unknown class it
// returns the settings of "standard" and false.
func (d *Document) Class(name string) (Class, bool) {
	c, known := d.classes[name]
	if !known {
		c = d.classes[standardClass]
	}
	return c, known
}

// mergeClasses returns the settings of all classes: the built-in values,
// replaced by the section of the class.
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

// DomainEvacuated reports whether operators have taken a failure domain out of
// service, and the reason that they stated.
func (d *Document) DomainEvacuated(failureDomain string) (reason string, out bool) {
	var s settings
	d.apply(&s, sectionID{"exception", KindFailureDomain, failureDomain})
	return s.reason, s.policy.domainOut
}

// Exception returns a copy of the values of an exception as written, including
// reason and author, and whether the exception exists.
func (d *Document) Exception(kind, name string) (map[string]string, bool) {
	s, ok := d.sections[sectionID{"exception", kind, name}]
	return maps.Clone(s.values), ok
}

// Exceptions returns the sorted names of all exceptions of a kind.
func (d *Document) Exceptions(kind string) []string {
	var names []string
	for _, id := range d.sectionIDs() {
		if id.kind == kind {
			names = append(names, id.name)
		}
	}
	return names
}

// apply sets the values of the sections in s in the given order and skips missing
// sections.
func (d *Document) apply(s *settings, ids ...sectionID) {
	for _, id := range ids {
		for _, set := range d.sections[id].setters {
			set(s)
		}
	}
}

// sectionIDs returns the ids of all sections, sorted by type, kind and name.
func (d *Document) sectionIDs() []sectionID {
	return slices.SortedFunc(maps.Keys(d.sections), func(a, b sectionID) int {
		return cmp.Or(cmp.Compare(a.sectionType, b.sectionType), cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
}

// allowedKeys returns the sorted names of the keys that are allowed in any
// section of s.
func allowedKeys(s scope) []string {
	var names []string
	for name, k := range keySchemas {
		if k.scope&s != 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
