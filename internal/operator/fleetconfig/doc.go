// Package fleetconfig implements the fleet configuration document, an INI text with
// defaults, settings of services, models and priority classes, and exceptions
// that state a reason. It parses, validates, merges, compares and edits
// documents, and issues and verifies the signed keys of workspaces.
package fleetconfig
