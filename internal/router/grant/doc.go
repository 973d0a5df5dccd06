// Package grant is the client side of admission in the entry router. It asks
// the owners of upstreams for grants in the placement order of a chat, renews
// the grants of running requests, and reports their releases.
package grant
