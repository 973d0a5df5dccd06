// Package admin implements the HTTP endpoint for operators: readiness, the status
// of the daemon, metrics, recent routing decisions, and reading and replacing the
// fleet configuration.
package admin
