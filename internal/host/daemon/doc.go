// Package daemon wires the components of a hemlockd router and runs them as one
// group: the HTTP servers for callers, routers and operators, the control
// goroutine, which owns membership and claims, and the loops that keep the fleet
// configuration, the load reports and the models of owned engines up to date.
package daemon
