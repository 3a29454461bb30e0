// Package ports finds free loopback addresses for the processes of test fleets.
package ports
