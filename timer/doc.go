// Package timer provides the time service that the other packages subscribe to, so that tests can run on a fake clock.
package timer
