// Package route chooses the backend servers that one attempt passes through: a path of layer ranges from the first layer
// to the last. It reads no clock and does no I/O.
package route
