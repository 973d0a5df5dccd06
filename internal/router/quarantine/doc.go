// Package quarantine decides which prompt parts crash upstreams, from the
// requests that were in progress at the crashes, and keeps requests with these
// parts away from upstreams until a probe succeeds. It performs no I/O: the
// routers of a fleet exchange its facts, and every router that has the same facts
// comes to the same decision.
//
// # Evidence
//
// A crash is the end of one incarnation of an upstream. Each request in progress
// there is a sighting of its parts. A part that occurs in a request whose response
// began normally is sound as of that time, and crashes up to then are no evidence
// against it. Popular parts are in progress at every crash, but are cleared at
// once, since other requests with them succeed.
//
// # Decision
//
// Parts that are in progress at minCrashes crashes, and not known to be sound, are
// quarantined. It takes manyCrashes if they were sound at an earlier time, or if parts
// of other requests were in progress at the same crashes. Parts that always occur
// together cannot be told apart, so only requests with all of them are refused; a
// request with some of them shows which ones are sound.
//
// A request and its repeats alone can cause minCrashes. A set of all its parts is thus
// given up for a smaller one, which forbids more requests, once manyCrashes on the
// smaller one include some of another request. Of a set with manyCrashes, parts that
// were sound at an earlier time are left out if others never were. If a set ties with
// another one, only requests with both are refused until a further crash decides.
//
// A prompt can have thousands of parts, and any of them can be the deadly one. Of a
// request with more than maxParts, those that are sound at the time of the crash are left
// out, and peers get the rest in several facts, which count once all of them have come.
// The number of parts in all evidence is bounded; a set has at most maxParts.
//
// While every request fails, crashes say little. If upstreams crash faster than any
// request ends, manyCrashes on parts that were never sound are enough if others succeeded
// shortly before, at a router that has served long enough to know the usual parts; if all
// crashes fall within minSpan, peers first get settleTime to report
// the parts as sound.
//
// The sets are chosen so that few of them explain all crashes. A crash that a set
// explains is no evidence against the other requests at that upstream. The choice is
// made anew with each new fact, and a set whose crashes others explain is given up. A
// larger set never replaces a smaller one, since the router that decided on that may
// know more.
//
// # Return
//
// A set is quarantined for minQuarantine, twice as long after each further crash.
// After that one router at a time sends one request to an upstream. If that
// succeeds, the set is released everywhere. Sets that nobody requests expire.
package quarantine
