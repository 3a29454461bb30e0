package placement

import (
	"sort"

	"junctioncross/models"
)

// replaceLost gives the missing layers of each domain to its reserved empty servers, to as few as can hold them, so that the
// others stay free to replace the next servers that leave.
func replaceLost(c *coverageMap, servers []Server) []Order {
	reserved := map[string][]*Server{}
	for i := range servers {
		if s := &servers[i]; s.Reserved && s.Settled && s.Kind != nil && s.Layers.Count() == 0 {
			reserved[s.Domain] = append(reserved[s.Domain], s)
		}
	}
	var orders []Order
	for domain, members := range reserved {
		orders = append(orders, c.replaceIn(domain, members)...)
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].ID < orders[j].ID })
	return orders
}

// replaceIn gives the missing layers of one domain to its reserved servers.
func (c *coverageMap) replaceIn(domain string, reserved []*Server) []Order {
	size := func(s *Server) int { return LayersOf(c.engine, s.Kind, c.layout(domain).Sequences) }
	sort.Slice(reserved, func(i, j int) bool {
		if a, b := size(reserved[i]), size(reserved[j]); a != b {
			return a < b
		}
		return c.placedBefore(reserved[i], reserved[j])
	})
	var orders []Order
	for hasMissing(c.ofDomain(domain)) && len(reserved) > 0 {
		missing := firstMissing(c.ofDomain(domain))
		// Take the smallest server that can hold all of the missing range, or else the largest one.
		i := sort.Search(len(reserved)-1, func(i int) bool { return size(reserved[i]) >= missing.Count() })
		s := reserved[i]
		reserved = append(reserved[:i], reserved[i+1:]...)
		if size(s) == 0 {
			continue
		}
		r, _ := c.bestRange(domain, size(s))
		c.add(s, r, 1)
		orders = append(orders, Order{ID: s.ID, Layers: r})
	}
	return orders
}

// firstMissing returns the first range of layers without a holder.
func firstMissing(domain []float64) models.Layers {
	for first := range domain {
		if domain[first] >= minRoom {
			continue
		}
		end := first
		for end < len(domain) && domain[end] < minRoom {
			end++
		}
		return models.Layers{First: first, End: end}
	}
	return models.Layers{}
}
