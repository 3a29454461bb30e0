// Package fault puts proxies that lose, delay and cut between the processes of a fleet, for tests and measurements.
package fault
