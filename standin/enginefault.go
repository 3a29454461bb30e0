package standin

// EngineFault is a fault that a test injects into an engine.
type EngineFault struct {
	// Leaving makes the engine announce that it is leaving.
	Leaving bool `json:"leaving"`
	// Hung makes the engine run no batches while its connections stay open.
	Hung bool `json:"hung"`
	// Slow is a factor of the step time; zero means one.
	Slow float64 `json:"slow"`
}

// SetFault injects a fault; the zero EngineFault ends all faults.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	if f.Leaving && !e.leaving {
		e.newSinceLeaving = 0
	}
	e.leaving = f.Leaving
	e.hung = f.Hung
	e.slow = max(f.Slow, 1)
	if f.Slow > 0 && f.Slow < 1 {
		e.slow = f.Slow
	}
	e.mu.Unlock()
	e.signal()
}
