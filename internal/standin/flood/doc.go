// Package flood stands in for a peer that sends bytes without end: a header, a
// body or a document that never completes. Tests play its cases against each reader
// of the network and measure the memory that the reader takes.
package flood
