package fleetconfig

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// Errors of the edit methods.
var (
	// ErrExists reports that the name already has an exception. It is not
	// replaced, since that would lose another operator's reason.
	ErrExists = errors.New("exception exists already, remove it first")
	// ErrNotFound reports that the document has no such exception or key.
	ErrNotFound = errors.New("not in the document")
)

// WithValue returns a copy of the document with one value set. header is the
// section header without brackets. An empty value removes the key. Version and
// mark can only be set by Stamp. The error is a Faults, or ErrNotFound if the
// key to remove is missing.
func (d *Document) WithValue(header, key, value string) (*Document, error) {
	id, _, expected := parseSectionHeader(header)
	if expected != "" {
		return nil, Faults{{header, key, header, expected}}
	}
	if writerKeys[id][key] {
		return nil, Faults{{header, key, value, "no change, the writer sets it"}}
	}
	if value == "" {
		return d.withoutKey(id, key)
	}
	return d.withValues(id, map[string]string{key: value})
}

// WithException returns a copy of the document with an exception added. The
// error is ErrExists or a Faults.
func (d *Document) WithException(kind, name, reason, author string, overrides map[string]string) (*Document, error) {
	id := sectionID{"exception", kind, name}
	if _, exists := d.sections[id]; exists {
		return nil, fmt.Errorf("[%s]: %w", id.header(), ErrExists)
	}
	values := maps.Clone(overrides)
	if values == nil {
		values = map[string]string{}
	}
	if len(values) == 0 {
		return nil, Faults{{id.header(), "", "", "at least one key to override"}}
	}
	if reason != "" {
		values["reason"] = reason
	}
	if author != "" {
		values["author"] = author
	}
	return d.withValues(id, values)
}

// WithoutException returns a copy of the document without the exception, or
// ErrNotFound.
func (d *Document) WithoutException(kind, name string) (*Document, error) {
	id := sectionID{"exception", kind, name}
	if _, exists := d.sections[id]; !exists {
		return nil, fmt.Errorf("[%s]: %w", id.header(), ErrNotFound)
	}
	return d.rewrite(func(f *ini.File) { f.DeleteSection(id.header()) })
}

// Stamp returns a copy of the document with the version and mark of a write.
func (d *Document) Stamp(version uint64, mark string) (*Document, error) {
	return d.withValues(sectionID{sectionType: "fleet"}, map[string]string{
		"version": strconv.FormatUint(version, 10), "mark": mark,
	})
}

// withValues sets values in a section and checks that the edited text parses to
// exactly these values.
func (d *Document) withValues(id sectionID, values map[string]string) (*Document, error) {
	keys := slices.Sorted(maps.Keys(values))
	var faults Faults
	for _, key := range keys {
		expected := checkLine(key + " = " + values[key])
		if strings.ContainsAny(key+values[key], "\r\n") {
			expected = "a value on one line"
		}
		if expected != "" {
			faults = append(faults, Fault{id.header(), key, values[key], expected})
		}
	}
	if err := faults.errorOrNil(); err != nil {
		return nil, err
	}
	edited, err := d.rewrite(func(f *ini.File) {
		for _, key := range keys {
			f.Section(id.header()).Key(key).SetValue(values[key])
		}
	})
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		if got := edited.sections[id].values[key]; got != values[key] {
			faults = append(faults, Fault{id.header(), key, values[key], "a value on one line without spaces at its ends"})
		}
	}
	return edited, faults.errorOrNil()
}

// withoutKey removes a key, and its section if it has no other key.
func (d *Document) withoutKey(id sectionID, key string) (*Document, error) {
	values := d.sections[id].values
	if _, exists := values[key]; !exists {
		return nil, fmt.Errorf("[%s] %s: %w", id.header(), key, ErrNotFound)
	}
	return d.rewrite(func(f *ini.File) {
		f.Section(id.header()).DeleteKey(key)
		if len(values) == 1 {
			f.DeleteSection(id.header())
		}
	})
}

// rewrite applies a change to the INI file and parses the result as a new
// document.
func (d *Document) rewrite(change func(*ini.File)) (*Document, error) {
	lines, faults := checkLines(d.text)
	if err := faults.errorOrNil(); err != nil {
		return nil, err
	}
	f, err := ini.LoadSources(iniOptions, lines)
	if err != nil {
		return nil, fmt.Errorf("fleet document: %w", err)
	}
	change(f)
	var text bytes.Buffer
	if _, err := f.WriteTo(&text); err != nil {
		return nil, fmt.Errorf("fleet document: %w", err)
	}
	return Parse(text.Bytes())
}
