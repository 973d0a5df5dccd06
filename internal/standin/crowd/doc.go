// Package crowd stands in for callers that nobody controls: many connections at once
// that send heads and bodies without end, stop just short of the end of a request, or
// do not read responses. The tests of the routers' processes play its patterns.
package crowd
