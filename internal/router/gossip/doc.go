// Package gossip implements the gossip between routers over datagrams: requests
// in progress at each upstream, confirmations of the store's state, outcomes of
// requests, locations of cached prefixes, and changes of upstream registrations.
// Without datagrams a router decides by its own counts alone.
package gossip
