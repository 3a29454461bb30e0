// Package testlog provides a logger for tests of code whose goroutines may outlive the test.
package testlog
