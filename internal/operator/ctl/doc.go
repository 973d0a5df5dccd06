// Package ctl implements hemlockctl, the operators' command-line tool. It
// changes the configuration in the key-value service by compare-and-swap,
// pushes it to the routers and reports how many confirmed it. It also prints the
// status and the recorded decisions of routers, and issues workspace keys.
package ctl
