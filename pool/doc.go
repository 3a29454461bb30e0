// Package pool holds the backend servers as the request path uses them: their senders, circuits and whether they may get
// new work.
package pool
