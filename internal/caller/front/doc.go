// Package front accepts connections of callers, answers the load balancer's
// readiness checks, and stops without cutting off requests.
package front
