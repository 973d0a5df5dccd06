// Package balance picks the upstream of a request from load, health and cache
// affinity. It holds no connections and takes the time as an argument.
package balance
