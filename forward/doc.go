// Package forward handles the requests of a hosted instance, one by one: it decides whether a request is admitted, which
// server or path gets it, when it is retried, repaired or resumed, and what its caller is told.
package forward
