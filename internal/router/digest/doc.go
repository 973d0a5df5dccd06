// Package digest holds what routers tell each other in datagrams: requests in
// progress at each upstream, marks of the store's state, outcomes, uses of
// prompt parts, and changes of upstreams. Without datagrams a router decides by
// its own counts alone.
package digest
