// Package rawserver accepts connections for stand-ins that write raw bytes to them, and
// reads their tables of responses. The packages flood and answers use it.
package rawserver
