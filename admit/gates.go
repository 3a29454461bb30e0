package admit

import (
	"sync"
	"time"

	"junctioncross/timer"
)

// Gates holds one Gate for each model.
type Gates struct {
	clock   *timer.Service
	maxWait time.Duration

	mu      sync.Mutex
	byModel map[string]*Gate
}

// NewGates returns an empty set whose gates refuse requests with a predicted wait longer than maxWait.
func NewGates(clock *timer.Service, maxWait time.Duration) *Gates {
	return &Gates{clock: clock, maxWait: maxWait, byModel: map[string]*Gate{}}
}

// Gate returns the gate of a model and creates it if there is none.
func (g *Gates) Gate(model string) *Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.byModel[model]
	if gate == nil {
		gate = New(g.clock, g.maxWait)
		g.byModel[model] = gate
	}
	return gate
}

// Each calls fn for every gate.
func (g *Gates) Each(fn func(model string, gate *Gate)) {
	g.mu.Lock()
	gates := make(map[string]*Gate, len(g.byModel))
	for name, gate := range g.byModel {
		gates[name] = gate
	}
	g.mu.Unlock()
	for name, gate := range gates {
		fn(name, gate)
	}
}
