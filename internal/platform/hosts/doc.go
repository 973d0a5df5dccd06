// Package hosts polls and parses the platform's list of upstreams and routers.
// The list is published in the Prometheus HTTP service-discovery format and may
// be out of date.
package hosts
