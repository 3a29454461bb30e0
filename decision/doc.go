// Package decision writes the log: one JSON line for each decision on a request and for each change in what the instance knows of
// the fleet (its beliefs). Writing never blocks; lines that do not fit into the queue are dropped and counted.
package decision
