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
	// silentSince is when a request first left the server because of its silence, if all failures are of that kind.
	silentSince time.Time
}

// Failed records a failure. Each consecutive failure doubles the time for which the circuit stays open. Failures while it is open
// are ignored: they belong to work that was under way when it opened, and say nothing new.
func (c *Circuit) Failed(now time.Time) {
	if now.Before(c.until) {
		return
	}
	c.open(now, Backoff(initialOpenTime, maxOpenTime, c.failures))
	c.silentSince = time.Time{}
}

// FailedSilent is Failed for a request that left the server since it was silent for too long. The circuit stays open for the shortest
// time until the silence has lasted for longer than the given time, which sound servers may be silent for.
func (c *Circuit) FailedSilent(now time.Time, soundSilence time.Duration) {
	if now.Before(c.until) {
		return
	}
	if c.failures == 0 {
		c.silentSince = now
	}
	if !c.Late(now, soundSilence) {
		c.Failed(now)
		return
	}
	c.open(now, initialOpenTime)
}

// Late reports whether all failures are of one silence that has not lasted for longer than the given time.
func (c *Circuit) Late(now time.Time, soundSilence time.Duration) bool {
	return !c.silentSince.IsZero() && now.Sub(c.silentSince) < soundSilence
}

// open counts a failure and keeps the circuit open for some time.
func (c *Circuit) open(now time.Time, d time.Duration) {
	c.until = now.Add(d)
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
