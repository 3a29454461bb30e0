// Package backend holds the backend servers of a hosted fleet: what their entries and answers say, the work that this
// instance has on each, and whether they may get more.
package backend
