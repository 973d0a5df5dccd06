package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// SettingError is one wrong setting.
type SettingError struct {
	file    string
	section string
	key     string
	value   string
	want    string
}

// NewSettingError returns a fault of a value that is wrong beside other settings.
func NewSettingError(file, section, key, value, want string) *SettingError {
	return &SettingError{file, section, key, value, want}
}

// Error names the file, section, key, value and what is expected.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: want %s", e.file, e.section, e.key, e.value, e.want)
}

// Field is one key: where it stands, what is expected and where its value goes.
type Field struct {
	section      string
	key          string
	defaultValue string
	want         string
	set          Setter
}

// NewField returns a field. One whose fallback is empty must be set.
func NewField(section, key, defaultValue, want string, set Setter) Field {
	return Field{section, key, defaultValue, want, set}
}

// Read stores the values of all fields and returns a fault for each that is
// wrong or missing, or stands more than once.
func Read(file string, f *ini.File, fields []Field) []error {
	return read(file, f, fields, false)
}

// ReadRendered does the same for a file that was filled in from a template, where
// a key without a value means that there is none to fill in.
func ReadRendered(file string, f *ini.File, fields []Field) []error {
	return read(file, f, fields, true)
}

func read(file string, f *ini.File, fields []Field, emptyIsMissing bool) []error {
	var errs []error
	for _, d := range fields {
		value, invalid := d.value(file, f, emptyIsMissing)
		if invalid == nil && !d.set(value) {
			invalid = &SettingError{file, d.section, d.key, value, d.want}
		}
		if invalid != nil {
			errs = append(errs, invalid)
		}
	}
	return errs
}

// value returns the text of the field, which is the fallback if it is missing.
func (d Field) value(file string, f *ini.File, emptyIsMissing bool) (string, *SettingError) {
	k, err := f.Section(d.section).GetKey(d.key)
	if err != nil {
		// The only error is that there is no such key.
		return d.defaultValue, nil
	}
	if all := k.ValueWithShadows(); len(all) > 1 {
		return "", &SettingError{file, d.section, d.key, strings.Join(all, ", "), "the key once"}
	}
	value := strings.TrimSpace(k.String())
	if value == "" && emptyIsMissing {
		return d.defaultValue, nil
	}
	return value, nil
}

// UnknownKeys returns a fault for each section and key that no field describes,
// which are most often misspelled.
func UnknownKeys(file string, f *ini.File, fields []Field) []error {
	known := map[string]bool{}
	for _, d := range fields {
		known[d.section+" "+d.key] = true
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
