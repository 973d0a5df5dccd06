package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// SettingError describes one invalid setting.
type SettingError struct {
	file     string
	section  string
	key      string
	value    string
	expected string
}

// NewSettingError returns an error for a value that conflicts with another setting.
func NewSettingError(file, section, key, value, expected string) *SettingError {
	return &SettingError{file, section, key, value, expected}
}

// Error names the file, section, key, value and what is expected.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", e.file, e.section, e.key, e.value, e.expected)
}

// Field describes one key: its section, its default value, what is expected, and the
// setter that validates and stores its value.
type Field struct {
	section      string
	key          string
	defaultValue string
	expected     string
	set          Setter
}

// NewField returns a field; expected describes the valid values in errors. The
// setter receives defaultValue if the file does not have the key, so a field is
// mandatory if its setter rejects the default value.
func NewField(section, key, defaultValue, expected string, set Setter) Field {
	return Field{section, key, defaultValue, expected, set}
}

// Read stores the values of all fields. It returns a SettingError for each key that
// is invalid, missing or repeated.
func Read(file string, f *ini.File, fields []Field) []error {
	return read(file, f, fields, false)
}

// ReadRendered is like Read for a file rendered from a template, in which an empty
// value means that the key is not set.
func ReadRendered(file string, f *ini.File, fields []Field) []error {
	return read(file, f, fields, true)
}

func read(file string, f *ini.File, fields []Field, emptyIsMissing bool) []error {
	var errs []error
	for _, field := range fields {
		value, invalid := field.value(file, f, emptyIsMissing)
		if invalid == nil && !field.set(value) {
			invalid = &SettingError{file, field.section, field.key, value, field.expected}
		}
		if invalid != nil {
			errs = append(errs, invalid)
		}
	}
	return errs
}

// value returns the text of the field, or the default value if the key is missing.
func (field Field) value(file string, f *ini.File, emptyIsMissing bool) (string, *SettingError) {
	k, err := f.Section(field.section).GetKey(field.key)
	if err != nil {
		// The only possible error is that the key does not exist.
		return field.defaultValue, nil
	}
	if all := k.ValueWithShadows(); len(all) > 1 {
		return "", &SettingError{file, field.section, field.key, strings.Join(all, ", "), "the key once"}
	}
	value := strings.TrimSpace(k.String())
	if value == "" && emptyIsMissing {
		return field.defaultValue, nil
	}
	return value, nil
}

// UnknownKeys returns a SettingError for each key that no field describes; most of
// these are misspelled.
func UnknownKeys(file string, f *ini.File, fields []Field) []error {
	known := map[string]bool{}
	for _, field := range fields {
		known[field.section+" "+field.key] = true
	}
	var errs []error
	for _, section := range f.Sections() {
		for _, k := range section.Keys() {
			if !known[section.Name()+" "+k.Name()] {
				errs = append(errs, &SettingError{file, section.Name(), k.Name(), k.String(), "a known key here"})
			}
		}
	}
	return errs
}
