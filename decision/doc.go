// Package decision writes the log: one JSON line for each decision on a request and each change of belief. Writing never
// blocks; lines that do not fit into the queue are dropped and counted.
package decision
