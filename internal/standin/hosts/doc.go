// Package hosts is a fake of the platform's host list, in the format of
// Prometheus HTTP service discovery. POST /faults injects faults.
package hosts
