// Package verdict states whether a request may have run at an upstream. Whether
// a failed request may be retried depends on the verdict and on nothing else.
package verdict
