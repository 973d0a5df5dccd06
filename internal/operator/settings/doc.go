// Package settings reads the INI file of one daemon: its addresses, failure
// domain and region, the addresses of platform services, and its limits. Package
// fleetconfig holds the configuration that all routers share.
package settings
