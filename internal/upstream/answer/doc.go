// Package answer reads what answers of engines and plain services have in
// common: how long to leave the upstream alone, and whether it ran the request.
package answer
