// Package plain is the client of plain services. Each call sends at most one
// request, and its result says whether the request may have run.
package plain
