// Package member keeps the live entry instances and backend servers of a fleet: the platform's lagging list joined with
// what instances say of themselves and of each other.
package member
