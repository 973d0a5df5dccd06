package fleetconfig

import (
	"fmt"
	"maps"
	"slices"
)

// Change is one value that differs between two documents.
type Change struct{ section, key, old, new string }

// Section returns the header of the section without brackets.
func (c Change) Section() string { return c.section }

// Key returns the name of the key.
func (c Change) Key() string { return c.key }

// Old returns the earlier value, "" if there was none.
func (c Change) Old() string { return c.old }

// New returns the later value, "" if there is none.
func (c Change) New() string { return c.new }

// String returns the change in one line that starts with + for an added value, -
// for a removed one and ~ for a changed one.
func (c Change) String() string {
	switch {
	case c.old == "":
		return fmt.Sprintf("+ [%s] %s = %s", c.section, c.key, c.new)
	case c.new == "":
		return fmt.Sprintf("- [%s] %s = %s", c.section, c.key, c.old)
	}
	return fmt.Sprintf("~ [%s] %s = %s -> %s", c.section, c.key, c.old, c.new)
}

// writerKeys are the keys that Stamp sets. They do not affect any settings.
var writerKeys = map[sectionID]map[string]bool{{sectionType: "fleet"}: {"version": true, "mark": true}}

// Diff returns the values that differ between two documents, ordered by section
// and key, without version and mark. A nil document counts as an empty one.
func Diff(earlier, later *Document) []Change {
	before, after := earlier.orEmpty(), later.orEmpty()
	union := &Document{sections: maps.Clone(before.sections)}
	maps.Copy(union.sections, after.sections)
	var changes []Change
	for _, id := range union.sectionIDs() {
		changes = append(changes, diffSection(id, before.sections[id].values, after.sections[id].values)...)
	}
	return changes
}

func diffSection(id sectionID, before, after map[string]string) []Change {
	keys := slices.Concat(slices.Collect(maps.Keys(before)), slices.Collect(maps.Keys(after)))
	slices.Sort(keys)
	var changes []Change
	for _, k := range slices.Compact(keys) {
		if before[k] != after[k] && !writerKeys[id][k] {
			changes = append(changes, Change{id.header(), k, before[k], after[k]})
		}
	}
	return changes
}

func (d *Document) orEmpty() *Document {
	if d == nil {
		return &Document{sections: map[sectionID]section{}}
	}
	return d
}
