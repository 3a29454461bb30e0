package placement

import (
	"sort"
	"time"

	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/models"
)

const (
	// wantedSequences is the number of sequences that a server should have memory for beside its layers in a domain whose
	// layout is not planned; see Layout. A higher number leaves less memory for layers: where a domain holds only one copy of
	// the model, the loss of one server sends all paths of its domain over the links between domains.
	wantedSequences = 96
	// standbySequences is the same for a standby server: one whose layers all have another holder in its domain that is as
	// fast. It takes over from lost servers and takes the overflow of the others, and covers more layers with less room for
	// sequences.
	standbySequences = 48
)

// Server describes a backend server for Decide and Summary.
type Server struct {
	ID     string
	Domain string
	Kind   *catalog.Kind
	// Layers is what the server holds, or will hold when the order under way is done.
	Layers models.Layers
	// Settled is true when no order is under way, so that the server can take one now.
	Settled bool
	// Pinned is true for a server that must not drop layers now.
	Pinned bool
	// Reserved is true for an empty server that gets layers only when its domain lacks some, because it may have been
	// started to replace a server that is about to leave.
	Reserved bool
}

// Order gives the layers that a server should hold from now on.
type Order struct {
	ID     string
	Layers models.Layers
	// Moves is true when the server drops layers that it holds.
	Moves bool
}

// usualTokens returns the number of tokens that a usual request holds in memory at its end.
func usualTokens(e *catalog.Engine) float64 { return float64(max(e.UsualPrompt+e.UsualAnswer, 1)) }

// LayersOf returns the number of layers that a server of a kind should hold to have memory for the given number of usual
// sequences beside them: at least one, unless not even one fits.
func LayersOf(e *catalog.Engine, k *catalog.Kind, sequences int) int {
	return min(max(whole(k.MemoryMB/layerMB(e, sequences), e.Layers), 1), whole(k.MemoryMB/e.LayerMB, e.Layers))
}

// layerMB returns the memory in megabytes that one layer takes together with the given number of sequences.
func layerMB(e *catalog.Engine, sequences int) float64 {
	return e.LayerMB + float64(sequences)*usualTokens(e)*e.LayerBytes()/1e6
}

// sequencesOf returns the number of usual sequences that a server has memory for beside the given number of layers.
func sequencesOf(e *catalog.Engine, k *catalog.Kind, layers int) float64 {
	if k == nil || layers < 1 {
		return 0
	}
	return min(chain.Room(e, k, layers)/(usualTokens(e)*float64(layers)), maxRoom)
}

// fillEmpty gives layers to the servers that hold none. It goes domain by domain, since each one should have a whole copy of
// the model, and begins with the fastest servers of a domain, so that slow ones only hold what is left or are standbys: every
// token passes each layer, and an answer that takes longer occupies its memory for longer.
func fillEmpty(c *coverageMap, servers []Server) []Order {
	var free []*Server
	for i := range servers {
		if s := &servers[i]; s.Settled && s.Layers.Count() == 0 && s.Kind != nil && !s.Reserved {
			free = append(free, s)
		}
	}
	sort.Slice(free, func(i, j int) bool { return c.placedBefore(free[i], free[j]) })
	orders := make([]Order, 0, len(free))
	budget := c.countLayers(servers)
	for _, s := range free {
		usual := LayersOf(c.engine, s.Kind, c.layout(s.Domain).Sequences)
		r, ok := c.chooseRange(s, budget.mayBeStandby(s.Domain, usual, c.engine.Layers))
		if !ok {
			continue
		}
		budget.free[s.Domain] -= usual
		if r.Count() > usual {
			budget.standby[s.Domain] += usual
		}
		c.add(s, r, 1)
		orders = append(orders, Order{ID: s.ID, Layers: r})
	}
	return orders
}

// chooseRange returns the range that an empty server should hold; false means that no layer fits.
func (c *coverageMap) chooseRange(s *Server, mayBeStandby bool) (models.Layers, bool) {
	n := LayersOf(c.engine, s.Kind, c.layout(s.Domain).Sequences)
	if n == 0 {
		return models.Layers{}, false
	}
	r, _ := c.bestRange(s.Domain, n)
	if mayBeStandby && c.isStandby(s, r) {
		r, _ = c.bestRange(s.Domain, LayersOf(c.engine, s.Kind, c.layout(s.Domain).standby()))
	}
	return r, true
}

// isStandby reports whether every layer of a range has another holder in the server's domain that is as fast, so that a
// server that holds the range would be a standby server.
func (c *coverageMap) isStandby(s *Server, r models.Layers) bool {
	fastest, own := c.fastest[s.Domain], stepTime(c.engine, s.Kind, c.layout(s.Domain).Sequences)
	for l := r.First; l < r.End; l++ {
		if fastest[l] == 0 || fastest[l] > own {
			return false
		}
	}
	return true
}

// placedBefore reports whether the empty server a gets layers before b.
func (c *coverageMap) placedBefore(a, b *Server) bool {
	step := func(s *Server) time.Duration { return stepTime(c.engine, s.Kind, c.layout(s.Domain).Sequences) }
	switch timeA, timeB := step(a), step(b); {
	case a.Domain != b.Domain:
		return a.Domain < b.Domain
	case timeA != timeB:
		return timeA < timeB
	case a.Kind.MemoryMB != b.Kind.MemoryMB:
		return a.Kind.MemoryMB > b.Kind.MemoryMB
	default:
		return a.ID < b.ID
	}
}
