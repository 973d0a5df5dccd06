// Package etcd is a client of the platform's key-value service, which speaks
// the etcd v3 HTTP/JSON gateway protocol. The client uses only net/http, limits
// the duration and the rate of its calls, and counts calls and bytes.
package etcd
