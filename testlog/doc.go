// Package testlog gives tests a logger for code whose goroutines may outlast them.
package testlog
