// Package fault holds TCP and UDP proxies that lose, delay or cut off traffic between the processes of a fleet, for tests and
// benchmarks.
package fault
