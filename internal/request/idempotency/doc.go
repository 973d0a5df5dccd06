// Package idempotency executes a non-idempotent call with an idempotency key at
// most once, whichever router receives it. It keeps a record of each call in the
// key-value store.
package idempotency
