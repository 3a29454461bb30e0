// Package fleet starts entry instances and stand-ins as processes on loopback, for demonstrations, tests and
// measurements, and ends every process that it started.
package fleet
