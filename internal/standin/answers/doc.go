// Package answers stands in for a server in trouble, whose responses violate HTTP/1.1 or
// break off, and for a sound one with unusual responses. Tests play its cases against
// each reader of responses.
package answers
