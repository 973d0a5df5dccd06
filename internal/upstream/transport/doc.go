// Package transport keeps one HTTP connection pool for each upstream address, so
// that the pool of an address whose connections stopped responding can be removed
// without an effect on the others.
package transport
