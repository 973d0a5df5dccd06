package fleetconfig

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a document.
type Fault struct{ section, key, value, expected string }

// Section returns the header of the section without brackets, "" if the fault is
// outside of any section.
func (f Fault) Section() string { return f.section }

// Key returns the key, "" if the fault concerns a whole section or line.
func (f Fault) Key() string { return f.key }

// Value returns the invalid value or line.
func (f Fault) Value() string { return f.value }

// Expected describes what is valid in its place.
func (f Fault) Expected() string { return f.expected }

// String returns the fault in one line.
func (f Fault) String() string {
	location := "[" + f.section + "]"
	if f.key != "" {
		location += " " + f.key
	}
	return fmt.Sprintf("%s = %q: expected %s", location, f.value, f.expected)
}

// Faults is the error of Parse and of the edit methods. It lists all validation
// errors.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// errorOrNil returns f as an error, nil if there are no faults.
func (f Faults) errorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
