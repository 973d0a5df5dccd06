// Package failure contains only tests. They start a fleet of separate processes
// on loopback and inject failures as scripted in testdata.
package failure
