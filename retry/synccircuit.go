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
func (g *SyncCircuit) Failed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.Failed(now)
}

// Succeeded closes the circuit.
func (g *SyncCircuit) Succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.Succeeded()
}

// ReleaseTrial allows another trial request, after one whose outcome says nothing about the server.
func (g *SyncCircuit) ReleaseTrial() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.ReleaseTrial()
}

// StartTrial records that the single trial request is sent once the circuit has been open for long enough.
func (g *SyncCircuit) StartTrial() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.StartTrial()
}

// Open reports whether work must be kept away from the server now.
func (g *SyncCircuit) Open(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.circuit.Open(now)
}
