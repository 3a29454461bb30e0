package retry

import (
	"sync"
	"time"
)

// Guard is a Circuit that several goroutines may use; its zero value is closed.
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

// Settled gives a trial back whose outcome says nothing about the server.
func (g *Guard) Settled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.ReleaseTrial()
}

// Admit takes the single trial of a circuit whose pause is over.
func (g *Guard) Admit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.circuit.StartTrial()
}

// Open reports whether the server gets no work now.
func (g *Guard) Open(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.circuit.Open(now)
}
