// Package ports finds free loopback addresses for the processes of fleets and tests.
package ports
