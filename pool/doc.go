// Package pool holds the backend servers for the request path, each with its batcher, its circuit breaker and whether it may get
// new work, and chooses paths through them.
package pool
