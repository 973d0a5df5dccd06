// Package logs writes log lines without ever blocking the caller: lines beyond
// a rate, or beyond what the output takes, are counted and left out.
package logs
