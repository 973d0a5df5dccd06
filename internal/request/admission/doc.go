// Package admission defines the interface between the handlers of caller
// requests and the admission of their attempts to upstreams: the request for
// admission, the grant, the report at the end of an attempt, and the summary of
// an ended request.
package admission
