// Package httpapi holds what the HTTP entry points for chats and for plain
// services share: request IDs, bearer keys, header limits, priority classes and
// the verdict over several attempts.
package httpapi
