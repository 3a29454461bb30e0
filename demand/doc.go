// Package demand adds up what the instances of a fleet know of the load on each service: which requests need room (memory for
// their sequences), how much room there is, and how soon room becomes free. Each instance reports its own part; the reports of
// the instances of a failure domain make up the totals of that domain. It reads no clock and does no I/O.
package demand
