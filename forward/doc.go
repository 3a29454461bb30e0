// Package forward decides what happens to one request of a hosted instance: whether it is let in, which server or path gets
// it, when it is sent again, repaired or resumed, and what its caller is told.
package forward
