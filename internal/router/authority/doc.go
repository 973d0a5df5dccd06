// Package authority holds the configuration in force and how long ago the
// store confirmed it, which decides whether API keys may still be honoured.
package authority
