// Package plain is a fake worker of a plain service. It logs each call that it
// executes. POST /faults injects faults.
package plain
