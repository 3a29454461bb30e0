// Package follow keeps what an instance believes of its fleet: it follows the platform's store, keeps the control state on
// one goroutine, and shows it to the request path as a snapshot that is replaced as a whole.
package follow
