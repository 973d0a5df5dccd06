// Package plain forwards calls to plain services under /services/{service}/. A
// non-idempotent call is executed at most once.
package plain
