package inifile

import (
	"net/netip"
	"strconv"
	"time"
)

// Setter parses and stores a value and reports whether it is valid.
type Setter func(value string) bool

// Text returns a setter of strings that isValid accepts.
func Text(target *string, isValid func(string) bool) Setter {
	return func(value string) bool {
		*target = value
		return isValid(value)
	}
}

// Integer returns a setter of integers from low to high.
func Integer(target *int, low, high int) Setter {
	return func(value string) bool {
		n, err := strconv.Atoi(value)
		*target = n
		return err == nil && n >= low && n <= high
	}
}

// Decimal returns a setter of decimal numbers from low to high.
func Decimal(target *float64, low, high float64) Setter {
	return func(value string) bool {
		f, err := strconv.ParseFloat(value, 64)
		*target = f
		return err == nil && f >= low && f <= high
	}
}

// Duration returns a setter of durations from low to high.
func Duration(target *time.Duration, low, high time.Duration) Setter {
	return func(value string) bool {
		d, err := time.ParseDuration(value)
		*target = d
		return err == nil && d >= low && d <= high
	}
}

// Boolean returns a setter for true and false.
func Boolean(target *bool) Setter {
	return func(value string) bool {
		*target = value == "true"
		return *target || value == "false"
	}
}

// IsAddress reports whether a value is an IP address and a port other than 0.
func IsAddress(value string) bool {
	a, err := netip.ParseAddrPort(value)
	return err == nil && a.Port() != 0
}

// IsNotEmpty reports whether a value is not empty.
func IsNotEmpty(value string) bool { return value != "" }
