// Package fleet starts entry instances and stand-ins (of the platform's services, engines and plain services) as processes on
// loopback, for demonstrations, tests and measurements, and ends every process that it started.
package fleet
