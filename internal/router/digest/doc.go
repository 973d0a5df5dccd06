// Package digest counts the requests in progress at each upstream and shares
// the counts among routers in small datagrams. Without datagrams a router
// decides by its own counts alone.
package digest
