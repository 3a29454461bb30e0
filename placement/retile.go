package placement

import (
	"sort"

	"junctioncross/catalog"
	"junctioncross/models"
)

// minRetiledSequences is the number of sequences that the servers of a domain must still have memory for after it is
// retiled.
const minRetiledSequences = 24

// retile returns the orders that cover the missing layers of domains that have lost servers and have none to spare. Those
// neighbours along the model get other ranges for which the gain outweighs the cost by most; often one server holds more, or two
// share what is missing. A server drops a layer only when another one holds it.
func retile(e *catalog.Engine, servers []Server) []Order {
	live := settledCoverageMap(e, servers)
	planned := newCoverageMap(e, servers)
	var orders []Order
	for domain, members := range settledByDomain(servers) {
		if !hasMissing(planned.ofDomain(domain)) {
			continue
		}
		for _, p := range windowPlans(e, planned, members) {
			if next := nextOrders(e, live, p.tiles); len(next) > 0 {
				orders = append(orders, next...)
				break
			}
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].ID < orders[j].ID })
	return orders
}

// nextOrders returns the next orders that bring servers to their new ranges.
func nextOrders(e *catalog.Engine, live *coverageMap, tiles []tile) []Order {
	var orders []Order
	for _, t := range tiles {
		if t.layers == t.server.Layers {
			continue
		}
		if order, ok := nextOrder(e, live, t.server, t.layers); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// hasMissing reports whether a layer of the domain has no holder.
func hasMissing(domain []float64) bool {
	for _, room := range domain {
		if room < minRoom {
			return true
		}
	}
	return false
}

// settledByDomain returns the servers of a known kind by domain, without the domains that have orders under way or pinned
// servers.
func settledByDomain(servers []Server) map[string][]*Server {
	out := map[string][]*Server{}
	busy := map[string]bool{}
	for i := range servers {
		s := &servers[i]
		if s.Kind == nil {
			continue
		}
		busy[s.Domain] = busy[s.Domain] || !s.Settled || s.Pinned
		out[s.Domain] = append(out[s.Domain], s)
	}
	for domain := range busy {
		if busy[domain] {
			delete(out, domain)
		}
	}
	return out
}

// tile is the range that a server should hold when its domain is retiled.
type tile struct {
	server *Server
	layers models.Layers
}

// totalLayers returns the number of layers that the servers can hold together with the given number of sequences beside them.
func totalLayers(e *catalog.Engine, members []*Server, sequences int) int {
	total := 0
	for _, s := range members {
		total += LayersOf(e, s.Kind, sequences)
	}
	return total
}

// nextOrder returns the next order that brings a server from the range that it holds to the target range: the target itself if
// every layer that the server drops has another holder, otherwise the range that spans both if it fits; false means that neither
// is possible now.
func nextOrder(e *catalog.Engine, live *coverageMap, s *Server, target models.Layers) (Order, bool) {
	if live.othersHold(s, target) {
		live.add(s, s.Layers, -1)
		return Order{ID: s.ID, Layers: target, Moves: true}, true
	}
	union := models.Layers{First: min(s.Layers.First, target.First), End: max(s.Layers.End, target.End)}
	if union != s.Layers && sequencesOf(e, s.Kind, union.Count()) >= minRetiledSequences/2 {
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
