// Package rollout decides how a service moves to a new version of its upstreams: which
// share of the requests the new version gets, whether its responses show that it is bad,
// and when the roll-out is completed or rolled back. It needs no network. The gateway
// asks it for each attempt and reports the outcome; the host exchanges its digests with
// peers and writes its decisions to the platform's store.
package rollout
