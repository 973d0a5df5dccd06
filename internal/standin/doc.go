// Package standin holds what the fakes of the platform and of the upstreams
// share: serving HTTP until a signal, JSON bodies, and the two ways to leave a
// request without a response (Abort and Hang).
package standin
