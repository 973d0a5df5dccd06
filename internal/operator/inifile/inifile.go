package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one wrong setting.
type Fault struct {
	file    string
	section string
	key     string
	value   string
	want    string
}

// NewFault returns a fault of a value that is wrong beside other settings.
func NewFault(file, section, key, value, want string) *Fault {
	return &Fault{file, section, key, value, want}
}

// Error names the file, section, key, value and what is expected.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", f.file, f.section, f.key, f.value, f.want)
}

// Field is one key: where it stands, what is expected and where its value goes.
type Field struct {
	section  string
	key      string
	fallback string
	want     string
	set      Setter
}

// NewField returns a field. One whose fallback is empty must be set.
func NewField(section, key, fallback, want string, set Setter) Field {
	return Field{section, key, fallback, want, set}
}

// Read stores the values of all fields and returns a fault for each that is
// wrong or missing, or stands more than once.
func Read(file string, f *ini.File, fields []Field) []error {
	return read(file, f, fields, false)
}

// ReadFilled does the same for a file that was filled in from a template, where
// a key without a value means that there is none to fill in.
func ReadFilled(file string, f *ini.File, fields []Field) []error {
	return read(file, f, fields, true)
}

func read(file string, f *ini.File, fields []Field, blankIsMissing bool) []error {
	var faults []error
	for _, d := range fields {
		value, fault := d.value(file, f, blankIsMissing)
		if fault == nil && !d.set(value) {
			fault = &Fault{file, d.section, d.key, value, d.want}
		}
		if fault != nil {
			faults = append(faults, fault)
		}
	}
	return faults
}

// value returns the text of the field, which is the fallback if it is missing.
func (d Field) value(file string, f *ini.File, blankIsMissing bool) (string, *Fault) {
	k, err := f.Section(d.section).GetKey(d.key)
	if err != nil {
		// The only error is that there is no such key.
		return d.fallback, nil
	}
	if all := k.ValueWithShadows(); len(all) > 1 {
		return "", &Fault{file, d.section, d.key, strings.Join(all, ", "), "the key once"}
	}
	value := strings.TrimSpace(k.String())
	if value == "" && blankIsMissing {
		return d.fallback, nil
	}
	return value, nil
}

// Unknown returns a fault for each section and key that no field describes,
// which are most often misspelled.
func Unknown(file string, f *ini.File, fields []Field) []error {
	known := map[string]bool{}
	for _, d := range fields {
		known[d.section+" "+d.key] = true
	}
	var faults []error
	for _, section := range f.Sections() {
		for _, k := range section.Keys() {
			if !known[section.Name()+" "+k.Name()] {
				faults = append(faults, &Fault{file, section.Name(), k.Name(), k.String(), "a known key here"})
			}
		}
	}
	return faults
}
