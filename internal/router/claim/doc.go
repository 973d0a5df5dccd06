// Package claim decides which upstreams this router owns. The owner of an
// upstream holds the key /hemlock/owner/<upstream> under its lease. The store
// revision of the write that made the claim is the fencing token.
//
// The control goroutine runs the state machine by calling Step. A worker
// goroutine (Run) calls the store with one request in flight. A slow or
// unreachable store therefore never blocks Step, results arrive in the order of
// their requests, and a read that finds a claim missing can't be older than the
// claim.
//
// # Handover
//
// The old owner stops admitting before it sends its state. The new owner swaps
// the key from exactly that claim to its own and admits only after the swap. If
// the state does not arrive, the old owner deletes its claim, and the next owner
// starts limited to the reserve. A swap keeps the key's create revision, so the
// token is the revision of the last write, which is the same for a created key.
//
// # Hold-off
//
// The full limit applies while the lease is certainly valid, and after that
// while hold-off promises of the other routers follow without a gap. After a gap
// only the store restores it. A router that claims while the promises of others
// expire gives none for one promise lifetime: the former holder then sees a gap,
// which later promises must not hide.
//
// # First claim
//
// Each claim writes the marker /hemlock/claimed/<upstream> in its transaction. A
// create that found no marker is the first claim: there is no earlier owner whose
// grants or hold-off promises would limit the new owner to the reserve. A claim
// whose response was lost, or of an upstream for which this router knows an
// earlier owner, does not count as the first. One router of each region lists the
// markers once an hour and removes those of upstreams that no longer exist.
//
// # Calls to the store
//
// Each router makes one keepalive in 3 s and one read in 2 s. It lists the owners
// once in routers/5 s but at most every 2 s, and claims at 300/routers calls a
// second after a burst of 4. With 9 routers that is 0.33 + 0.5 + 0.5 = 1.33 calls
// a second per router, 12 for the fleet. With 980 routers it is
// 0.33 + 0.5 + 0.005 = 0.84 per router, 495 reads and 327 keepalives for the
// fleet, and up to 300 claims a second after a mass failure.
package claim
