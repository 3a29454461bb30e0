package retry

import "time"

const (
	// initialOpenTime is how long a circuit stays open after the first failure, and maxOpenTime the longest time after many
	// failures.
	initialOpenTime = 250 * time.Millisecond
	maxOpenTime     = 8 * time.Second
)

// Circuit is a circuit breaker: it keeps work away from a backend server that has failed, and lets a single trial request through
// after a while.
type Circuit struct {
	// failures is the number of failures since the last success.
	failures int
	// until is when a trial request may be sent.
	until time.Time
	// trial is true while a trial request is under way.
	trial bool
}

// Failed records a failure. Each consecutive failure doubles the time for which the circuit stays open. Failures while it is open
// are ignored: they belong to work that was under way when it opened, and say nothing new.
func (c *Circuit) Failed(now time.Time) {
	if now.Before(c.until) {
		return
	}
	c.until = now.Add(Backoff(initialOpenTime, maxOpenTime, c.failures))
	c.failures++
	c.trial = false
}

// Succeeded closes the circuit.
func (c *Circuit) Succeeded() { *c = Circuit{} }

// Open reports whether work must be kept away from the server now.
func (c *Circuit) Open(now time.Time) bool {
	if c.failures == 0 {
		return false
	}
	return now.Before(c.until) || c.trial
}

// StartTrial records that the single trial request is sent once the circuit has been open for long enough. It does nothing to a
// closed circuit.
func (c *Circuit) StartTrial() {
	if c.failures > 0 {
		c.trial = true
	}
}

// ReleaseTrial allows another trial request, after one whose outcome says nothing about the server.
func (c *Circuit) ReleaseTrial() { c.trial = false }
