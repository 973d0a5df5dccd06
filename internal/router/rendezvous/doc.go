// Package rendezvous orders upstreams and routers for a key by rendezvous
// hashing. All functions are pure.
package rendezvous
