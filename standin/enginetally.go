package standin

// EngineTally counts the work of an engine.
type EngineTally struct {
	// Requests is the number of attempts that the engine has started for each request.
	Requests map[string]int `json:"requests"`
	// NewSinceLeaving is the number of attempts started since the engine announced that it is leaving.
	NewSinceLeaving int `json:"new_since_leaving"`
	// Held is the number of attempts whose cache the engine holds.
	Held int `json:"held"`
	// BusyMicros is the time spent in steps, in microseconds; Steps and Sequences count the steps and the frames run in them.
	BusyMicros int64 `json:"busy_us"`
	Steps      int   `json:"steps"`
	Sequences  int   `json:"sequences"`
}

// Tally returns the counts of the engine's work since its start.
func (e *Engine) Tally() EngineTally {
	e.mu.Lock()
	defer e.mu.Unlock()
	started := make(map[string]int, len(e.startsOf))
	for k, v := range e.startsOf {
		started[k] = v
	}
	return EngineTally{
		Requests: started, NewSinceLeaving: e.newSinceLeaving, Held: len(e.attempts),
		BusyMicros: e.busy.Microseconds(), Steps: e.steps, Sequences: e.sequences,
	}
}
