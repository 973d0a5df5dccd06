// Package httpresponse reads the header fields that responses of engines and plain
// services have in common: Retry-After and whether the request ran.
package httpresponse
