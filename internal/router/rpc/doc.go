// Package rpc holds the messages between routers, generated from router.proto by
// generate.sh, and the twirp client and server for them.
package rpc
