// Package weightslots bounds how many upstreams of the whole fleet start to load
// model weights in one interval, since the platform's weight store is
// rate-limited. Each start needs a slot, which is a leased key in the store.
package weightslots
