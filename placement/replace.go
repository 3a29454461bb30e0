package placement

import (
	"sort"

	"junctioncross/models"
)

// replace gives what is missing in a domain to the empty servers that wait there, to as few as can hold it, so that the others are
// still free for whoever leaves next.
func replace(c *cover, servers []Server) []Order {
	waiting := map[string][]*Server{}
	for i := range servers {
		if s := &servers[i]; s.Waits && s.Settled && s.Kind != nil && s.Layers.Count() == 0 {
			waiting[s.Domain] = append(waiting[s.Domain], s)
		}
	}
	var orders []Order
	for domain, members := range waiting {
		orders = append(orders, c.replaceIn(domain, members)...)
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].ID < orders[j].ID })
	return orders
}

// replaceIn gives what is missing in one domain to the servers that wait there.
func (c *cover) replaceIn(domain string, waiting []*Server) []Order {
	size := func(s *Server) int { return LayersOf(c.engine, s.Kind, wantedSequences) }
	sort.Slice(waiting, func(i, j int) bool {
		if a, b := size(waiting[i]), size(waiting[j]); a != b {
			return a < b
		}
		return before(c.engine, waiting[i], waiting[j])
	})
	var orders []Order
	for misses(c.in(domain)) && len(waiting) > 0 {
		hole := firstHole(c.in(domain))
		// The smallest one that can hold all of it, or the largest one.
		i := sort.Search(len(waiting)-1, func(i int) bool { return size(waiting[i]) >= hole.Count() })
		s := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		if size(s) == 0 {
			continue
		}
		r, _ := c.best(domain, size(s))
		c.add(s, r, 1)
		orders = append(orders, Order{ID: s.ID, Layers: r})
	}
	return orders
}

// firstHole returns the first range of layers without a holder.
func firstHole(domain []float64) models.Layers {
	for first := range domain {
		if domain[first] >= least {
			continue
		}
		end := first
		for end < len(domain) && domain[end] < least {
			end++
		}
		return models.Layers{First: first, End: end}
	}
	return models.Layers{}
}
