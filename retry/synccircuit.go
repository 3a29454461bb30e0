package retry

import (
	"sync"
	"time"
)

// Guard is a Circuit that is safe for concurrent use; its zero value is closed.
type Guard struct {
	mu      sync.Mutex
	circuit Circuit
}

// Failed records a failure.
func (g *Guard) Failed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.Failed(now)
}

// Succeeded closes the circuit.
func (g *Guard) Succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.Succeeded()
}

// Settled allows another trial request, after one whose outcome says nothing about the server.
func (g *Guard) Settled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.ReleaseTrial()
}

// Admit records that the single trial request is sent once the circuit has been open for long enough.
func (g *Guard) Admit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.StartTrial()
}

// Open reports whether work must be kept away from the server now.
func (g *Guard) Open(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.circuit.Open(now)
}
