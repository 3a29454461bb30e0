// Package placement decides which layers each server of a chained engine should hold. It starts from what the servers hold
// now, so that a new leader continues where the former one stopped. It reads no clock and does no I/O.
package placement
