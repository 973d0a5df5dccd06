// Package crowd contains only tests. They start hemlockd as a process on loopback and
// play crowds of misbehaving callers against it, one at a time. The tests of
// hemlock-edge are in package platform, which has the stand-ins of its store.
package crowd
