// Package loadgen is a client of routers. It sends single chat requests and verifies
// the completions, generates a bounded load of returning chats, and has the
// checks of the demo.
package loadgen
