// Package prefix indexes which engines have which shared prompt prefixes in
// their cache, so that an engine that lacks a prefix can copy it from another
// instead of computing it again.
package prefix
