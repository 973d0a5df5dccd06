// Package rungroup runs the long-lived goroutines of a process as a group
// that stops together.
package rungroup
