// Package follow keeps the instance's view of the fleet: it polls the feeds of the platform's store, keeps the control
// state on one goroutine, and publishes it to the request path as an immutable snapshot that is replaced as a whole.
package follow
