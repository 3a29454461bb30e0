package retry

import (
	"sync"
	"time"
)

// SyncCircuit is a Circuit that is safe for concurrent use; its zero value is closed.
type SyncCircuit struct {
	mu      sync.Mutex
	circuit Circuit
}

// Failed records a failure.
func (c *SyncCircuit) Failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.circuit.Failed(now)
}

// FailedSilent records a failure by silence.
func (c *SyncCircuit) FailedSilent(now time.Time, soundSilence time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.circuit.FailedSilent(now, soundSilence)
}

// Late reports whether all failures are of one silence that has not lasted for longer than the given time.
func (c *SyncCircuit) Late(now time.Time, soundSilence time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.Late(now, soundSilence)
}

// Succeeded closes the circuit.
func (c *SyncCircuit) Succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.circuit.Succeeded()
}

// ReleaseTrial allows another trial request, after one whose outcome says nothing about the server.
func (c *SyncCircuit) ReleaseTrial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.circuit.ReleaseTrial()
}

// StartTrial records that the single trial request is sent once the circuit has been open for long enough.
func (c *SyncCircuit) StartTrial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.circuit.StartTrial()
}

// Open reports whether work must be kept away from the server now.
func (c *SyncCircuit) Open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.Open(now)
}
