package retry

import "time"

const (
	initialOpenTime = 250 * time.Millisecond
	maxOpenTime     = 8 * time.Second
)

// Circuit keeps work away from a backend server that has failed, and lets a single trial through after a while.
type Circuit struct {
	failures int
	until    time.Time
	trial    bool
}

// Failed records a failure; the pause doubles with each one in a row. Failures of work that was under way when the
// circuit opened say nothing new.
func (c *Circuit) Failed(now time.Time) {
	if now.Before(c.until) {
		return
	}
	c.until = now.Add(Doubled(initialOpenTime, maxOpenTime, c.failures))
	c.failures++
	c.trial = false
}

// Succeeded closes the circuit.
func (c *Circuit) Succeeded() { *c = Circuit{} }

// Open reports whether the server gets no work now.
func (c *Circuit) Open(now time.Time) bool {
	if c.failures == 0 {
		return false
	}
	return now.Before(c.until) || c.trial
}

// StartTrial takes the single trial of a circuit whose pause is over; it does nothing to a closed one.
func (c *Circuit) StartTrial() {
	if c.failures > 0 {
		c.trial = true
	}
}

// ReleaseTrial gives the trial back when its outcome says nothing about the server.
func (c *Circuit) ReleaseTrial() { c.trial = false }
