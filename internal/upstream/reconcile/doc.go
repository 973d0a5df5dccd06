// Package reconcile reconciles the serving configuration of engines with the one
// that the fleet's configuration requires. It is level-triggered: each step reads
// the current state of an engine, sends the difference under the owner's fencing
// token, and reads the state back.
package reconcile
