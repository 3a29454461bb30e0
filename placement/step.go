package placement

import (
	"math"
	"slices"
	"time"

	"junctioncross/catalog"
	"junctioncross/models"
)

// step is the order that brings a server nearer to its new range.
type step struct {
	server *Server
	order  Order
}

// ordersOf returns the orders of steps.
func ordersOf(steps []step) []Order {
	orders := make([]Order, 0, len(steps))
	for _, s := range steps {
		orders = append(orders, s.order)
	}
	return orders
}

// nextOrders returns the next steps that bring servers to their new ranges. A server that cannot hold a layer keeps its range.
func nextOrders(e *catalog.Engine, live *coverageMap, tiles []tile) []step {
	var steps []step
	var released []*Server
	for _, t := range tiles {
		if t.layers == t.server.Layers || t.layers.Count() == 0 {
			continue
		}
		order, ok := nextOrder(e, live, t.server, t.layers)
		if !ok {
			continue
		}
		if order.Layers == t.layers {
			live.add(t.server, t.server.Layers, -1)
			released = append(released, t.server)
		}
		steps = append(steps, step{server: t.server, order: order})
	}
	for _, s := range released {
		live.add(s, s.Layers, 1)
	}
	return steps
}

// nextOrder returns the next order that brings a server from the range that it holds to the target range: the target itself if
// every layer that the server drops has another holder, otherwise the range that spans both if it fits; false means that neither
// is possible now.
func nextOrder(e *catalog.Engine, live *coverageMap, s *Server, target models.Layers) (Order, bool) {
	if live.othersHold(s, target) {
		return Order{ID: s.ID, Layers: target, Moves: true}, true
	}
	union := hull(s.Layers, target)
	if union != s.Layers && sequencesOf(e, s.Kind, union.Count()) >= float64(live.layout(s.Domain).retiled()/2) {
		return Order{ID: s.ID, Layers: union, Moves: true}, true
	}
	return Order{}, false
}

// othersHold reports whether every layer that the server would drop for the target range has another holder in its domain.
func (c *coverageMap) othersHold(s *Server, target models.Layers) bool {
	d := c.ofDomain(s.Domain)
	own := max(sequencesOf(c.engine, s.Kind, s.Layers.Count()), 1)
	for l := s.Layers.First; l < s.Layers.End; l++ {
		if (l < target.First || l >= target.End) && d[l]-own < minRoom {
			return false
		}
	}
	return true
}

const (
	// maxSteps is the highest number of steps that a plan may take to cover the missing layers: with more, servers that can move
	// meanwhile, and those that come back, make it outdated.
	maxSteps = 2
	// stepDelay is how long a step takes beside loading, as the number of layers that a server loads in that time.
	stepDelay = 4
	// never stands for a time that is not reached: the missing layers stay missing.
	never = math.MaxInt
)

// timeToCover returns how long it takes until the missing layers of a domain are covered if servers get new ranges, as the number
// of layers that a server loads in that time, or never.
func (c *coverageMap) timeToCover(domain string, tiles []tile) int {
	scratch := c.copyOf(domain)
	servers, targets := make([]Server, len(tiles)), make([]tile, len(tiles))
	for i, t := range tiles {
		servers[i] = *t.server
		targets[i] = tile{server: &servers[i], layers: t.layers}
	}
	total := 0
	for range maxSteps {
		steps := nextOrders(c.engine, scratch, targets)
		if len(steps) == 0 {
			return never
		}
		total += stepDelay + longestLoad(steps)
		for _, s := range steps {
			scratch.add(s.server, s.server.Layers, -1)
			s.server.Layers = s.order.Layers
			scratch.add(s.server, s.server.Layers, 1)
		}
		if !hasMissing(scratch.ofDomain(domain)) {
			return total
		}
	}
	return never
}

// longestLoad returns the highest number of layers that a server loads in steps.
func longestLoad(steps []step) int {
	longest := 0
	for _, s := range steps {
		longest = max(longest, s.order.Layers.Count()-common(s.order.Layers, s.server.Layers))
	}
	return longest
}

// copyOf returns a copy of the coverage of one domain, without the sums over all domains.
func (c *coverageMap) copyOf(domain string) *coverageMap {
	return &coverageMap{
		engine: c.engine, layouts: c.layouts, all: make([]float64, c.engine.Layers),
		byDomain: map[string][]float64{domain: slices.Clone(c.ofDomain(domain))},
		fastest:  map[string][]time.Duration{domain: slices.Clone(c.fastest[domain])},
	}
}
