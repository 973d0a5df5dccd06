// Package prefix remembers which engines have read which shared parts of
// prompts, so that an engine that lacks a part can copy it from another instead
// of computing it again.
package prefix
