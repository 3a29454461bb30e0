package placement

import (
	"math"
	"sort"

	"junctioncross/catalog"
	"junctioncross/models"
)

// minRetiledSequences is the number of sequences that the servers of a domain whose layout is not planned must still have
// memory for after it is retiled.
const minRetiledSequences = 24

// retile returns the orders that bring the servers of a domain with missing layers to a tiling of the whole model, with as
// much memory for sequences as that leaves. It is the last resort, for domains that have lost servers for good and have none
// to spare. The servers keep their order along the model, so that their ranges shift by few layers, and a server drops a layer
// only when another one holds it.
func retile(e *catalog.Engine, servers []Server, layouts map[string]Layout) []Order {
	live := settledCoverageMap(e, servers, layouts)
	planned := newCoverageMap(e, servers, layouts)
	var orders []Order
	for domain, members := range settledByDomain(servers) {
		if !hasMissing(planned.ofDomain(domain)) {
			continue
		}
		for _, o := range tiling(e, members, planned.layout(domain)) {
			s := o.server
			if o.layers == s.Layers {
				continue
			}
			if order, ok := nextOrder(e, live, s, o.layers); ok {
				orders = append(orders, order)
			}
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].ID < orders[j].ID })
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

// tile is the range that a server should hold when the domain is retiled.
type tile struct {
	server *Server
	layers models.Layers
}

// tiling divides the model among the servers, in the order of the layers that they hold now; it returns nil when their
// memory is too small.
func tiling(e *catalog.Engine, members []*Server, plan Layout) []tile {
	sequences := 0
	for s := plan.retiled(); s <= plan.Sequences && totalLayers(e, members, s) >= e.Layers; s += 4 {
		sequences = s
	}
	if sequences == 0 {
		return nil
	}
	sort.SliceStable(members, func(i, j int) bool {
		a, b := members[i].Layers, members[j].Layers
		if a.First+a.End != b.First+b.End {
			return a.First+a.End < b.First+b.End
		}
		return members[i].ID < members[j].ID
	})
	total := float64(totalLayers(e, members, sequences))
	tiles := make([]tile, 0, len(members))
	sum := 0.0
	for _, s := range members {
		n := LayersOf(e, s.Kind, sequences)
		// Layers that the servers can hold beyond one copy are spread evenly as overlaps between neighbours.
		first := int(math.Floor(sum * float64(e.Layers) / total))
		first = min(first, e.Layers-n)
		tiles = append(tiles, tile{server: s, layers: models.Layers{First: first, End: first + n}})
		sum += float64(n)
	}
	return tiles
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
