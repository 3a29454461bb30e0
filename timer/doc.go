// Package timer provides the clock and the timers that the other packages use, so that tests can run on a fake clock. It also
// detects that the machine was suspended, and counts that time.
package timer
