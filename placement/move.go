package placement

import "junctioncross/catalog"

// move lets one server drop layers that have other holders in its domain and load layers that are missing there: the server
// that covers most missing layers, and among equals the one that loads the fewest.
//
// A server that holds the only copy of a layer in its domain is never moved, whatever it could cover: its layers would be
// missing while the new ones load.
func move(e *catalog.Engine, c *coverageMap, servers []Server) []Order {
	live := settledCoverageMap(e, servers, c.layouts)
	var best Order
	highest := 0.0
	for i := range servers {
		s := &servers[i]
		if !s.Settled || s.Pinned || s.Layers.Count() == 0 || s.Kind == nil || !live.isRedundant(s) {
			continue
		}
		c.add(s, s.Layers, -1)
		r, gain := c.bestRange(s.Domain, s.Layers.Count())
		gain -= c.rangeValue(s.Domain, s.Layers) + loadCost*float64(r.Count())
		if gain >= missingInDomain/2 && gain > highest {
			best, highest = Order{ID: s.ID, Layers: r, Moves: true}, gain
		}
		c.add(s, s.Layers, 1)
	}
	if highest == 0 {
		return nil
	}
	return []Order{best}
}
