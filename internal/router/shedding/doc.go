// Package shedding decides which requests to a service are sent while its upstreams
// reject some because they are full. All routers derive the same acceptance shares from
// the rates that they exchange. forward calls it before each attempt and after each
// response, edge exchanges the rates.
package shedding
