package placement

import (
	"junctioncross/catalog"
	"junctioncross/models"
)

// candidate is a server that may move, and what the move brings.
type candidate struct {
	order Order
	// covered is the value of the missing layers that the move covers.
	covered float64
	// safe is true if all layers of the server have two other holders in its domain, so that each still has two while it loads.
	safe bool
	// net is the gain without the costs; see change.
	net float64
}

// move lets one server drop layers that have other holders in its domain and load layers that are missing or held with far less
// room there: the server that covers most missing layers, among equals one whose layers all have two other holders, then the one
// with the highest gain.
//
// A server that holds the only copy of a layer in its domain is never moved, whatever it could cover: its layers would be
// missing while the new ones load.
func move(c *coverageMap, servers []Server) []Order {
	e := c.engine
	live := settledCoverageMap(e, servers, c.layouts)
	holders := countHolders(e, servers)
	var best *candidate
	for i := range servers {
		s := &servers[i]
		if !s.Settled || s.Pinned || s.Layers.Count() == 0 || s.Kind == nil || !live.isRedundant(s) {
			continue
		}
		if m := c.moveOf(s, holders[s.Domain]); m != nil && (best == nil || m.before(*best)) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return []Order{best.order}
}

// moveOf returns the best move of a server, or nil if none is worthwhile.
func (c *coverageMap) moveOf(s *Server, holders []int) *candidate {
	c.add(s, s.Layers, -1)
	defer c.add(s, s.Layers, 1)
	r, value := c.bestRange(s.Domain, s.Layers.Count())
	covered := c.missingValue(s.Domain, r)
	moved := change{gain: value - c.rangeValue(s.Domain, s.Layers), loaded: r.Count(), cut: 1}
	// A move that covers no missing layer must gain at least half of what covering one is worth.
	if !moved.worthwhile() || covered == 0 && moved.net() < missingInDomain/2 {
		return nil
	}
	return &candidate{
		order: Order{ID: s.ID, Layers: r, Moves: true}, covered: covered, safe: fewestHolders(holders, s.Layers) > 2, net: moved.net(),
	}
}

// before reports whether a move is to be made rather than another one.
func (m candidate) before(other candidate) bool {
	switch {
	case m.covered != other.covered:
		return m.covered > other.covered
	case m.safe != other.safe:
		return m.safe
	default:
		return m.net > other.net
	}
}

// missingValue returns the value of the layers of a range that have no holder in the domain.
func (c *coverageMap) missingValue(domain string, r models.Layers) float64 {
	d, total := c.ofDomain(domain), 0.0
	wanted := c.layout(domain).Sequences
	for l := r.First; l < r.End; l++ {
		if d[l] < minRoom {
			total += c.layerValue(d, l, wanted)
		}
	}
	return total
}

// countHolders returns the number of servers without an order under way that hold each layer, by domain.
func countHolders(e *catalog.Engine, servers []Server) map[string][]int {
	out := map[string][]int{}
	for i := range servers {
		s := &servers[i]
		if out[s.Domain] == nil {
			out[s.Domain] = make([]int, e.Layers)
		}
		for l := max(s.Layers.First, 0); s.Settled && l < min(s.Layers.End, e.Layers); l++ {
			out[s.Domain][l]++
		}
	}
	return out
}

// fewestHolders returns the lowest number of holders of a layer of a range.
func fewestHolders(holders []int, r models.Layers) int {
	fewest := holders[max(r.First, 0)]
	for _, n := range holders[max(r.First, 0):min(r.End, len(holders))] {
		fewest = min(fewest, n)
	}
	return fewest
}
