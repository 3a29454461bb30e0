// Package placement decides which layers each server of a chained engine should hold. It starts from what the servers hold
// now, so that whoever gives orders next goes on where the last one stopped. It holds no clock and does no I/O.
package placement
