package standin

import "junctioncross/engine"

// attemptState is what the engine holds for an attempt: one cache entry for each layer and the next position.
type attemptState struct {
	cache    []uint64
	position int
}

// runFrame computes one frame; e.mu must be held.
func (e *Engine) runFrame(f *engine.Frame) engine.Result {
	result := engine.Result{Request: f.Request, Attempt: f.Attempt, Position: f.Position, Layers: f.Layers}
	if e.state != engine.StateReady || f.Model != e.model.name || f.Layers != e.layers {
		result.Code = engine.CodeNotStarted
		return result
	}
	id := engine.AttemptID{Request: f.Request, Attempt: f.Attempt}
	s := e.attempts[id]
	if s == nil && f.Position == 0 {
		s = e.startAttempt(id)
	}
	if s == nil || s.position != f.Position {
		result.Code = engine.CodeOutOfOrder
		return result
	}
	input := f.Input
	if f.Text != "" {
		input = Tokens(f.Text)
		result.Tokens = input
	}
	e.runLayers(s, input, &result)
	return result
}

// startAttempt adds an empty cache for an attempt; e.mu must be held.
func (e *Engine) startAttempt(id engine.AttemptID) *attemptState {
	s := &attemptState{cache: make([]uint64, e.layers.Count())}
	e.attempts[id] = s
	e.startsOf[id.Request]++
	if e.leaving {
		e.newSinceLeaving++
	}
	return s
}

// runLayers runs the input through the layers and sets the output, or the next token after the last layer; e.mu must be held.
func (e *Engine) runLayers(s *attemptState, input []uint64, result *engine.Result) {
	output := make([]uint64, len(input))
	for i, act := range input {
		output[i] = e.model.runLayers(s.cache, e.layers.First, act)
		s.position++
	}
	result.Code = engine.CodeDone
	if e.layers.End < e.model.layers {
		result.Output = output
		return
	}
	token := output[len(output)-1] % vocabulary
	result.Output = []uint64{token}
	result.Piece = Piece(token)
	result.End = Ends(token)
}

// Cancel deletes the caches of attempts.
func (e *Engine) Cancel(c engine.Cancel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range c.Attempts {
		delete(e.attempts, id)
	}
}

// Export returns the cache of an attempt, or false if the engine holds none.
func (e *Engine) Export(id engine.AttemptID) (engine.Snapshot, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.attempts[id]
	if s == nil {
		return engine.Snapshot{}, false
	}
	return engine.Snapshot{
		ID: id, Model: e.model.name, Layers: e.layers, Position: s.position,
		Cache: append([]uint64(nil), s.cache...),
	}, true
}

// Import stores the cache of an attempt if it belongs to the model and layers that the engine holds, and reports whether it did.
func (e *Engine) Import(s engine.Snapshot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != engine.StateReady || s.Layers != e.layers || s.Model != e.model.name || len(s.Cache) != e.layers.Count() {
		return false
	}
	e.attempts[s.ID] = &attemptState{cache: append([]uint64(nil), s.Cache...), position: s.Position}
	return true
}
