// Package rawserver accepts connections for stand-ins that write raw bytes to them. The
// packages flood and answers use it.
package rawserver
