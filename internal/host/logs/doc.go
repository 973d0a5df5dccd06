// Package logs writes log lines without blocking the caller. Lines that exceed a
// rate limit or the speed of the output are dropped and counted.
package logs
