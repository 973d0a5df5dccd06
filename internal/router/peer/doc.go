// Package peer provides the twirp clients and the HTTP server for calls between
// routers, over persistent unencrypted HTTP/2 connections. Pings detect
// unresponsive connections. Bytes and calls of the control traffic are counted on
// both the calling and the serving side.
package peer
