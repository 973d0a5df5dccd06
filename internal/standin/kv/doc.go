// Package kv is a fake of the platform's key-value store: the HTTP/JSON gateway
// of etcd v3 with its keys in memory. POST /faults injects faults.
package kv
