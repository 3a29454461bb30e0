package placement

import (
	"sort"

	"junctioncross/catalog"
	"junctioncross/models"
)

// minRetiledSequences is the number of sequences that the servers of a domain whose layout is not planned must still have
// memory for after it is retiled.
const minRetiledSequences = 24

const (
	// tilingStep is the difference between the numbers of sequences that tiling tries.
	tilingStep = 4
	// maxComparedPlans is the highest number of plans of a domain that are compared with a tiling.
	maxComparedPlans = 48
	// sameTime is how much longer than the tiling a plan may take, as the number of layers that a server loads in that time.
	sameTime = 1
)

// retile returns the orders that cover the missing layers of domains that have lost servers and have none to spare. Those
// neighbours along the model get other ranges for which the gain outweighs the cost by most; often one server holds more, or two
// share what is missing. A server drops a layer only when another one holds it.
func retile(c *coverageMap, servers []Server) []Order {
	if !c.lacksLayers() {
		return nil
	}
	live := settledCoverageMap(c.engine, servers, c.layouts)
	var orders []Order
	for domain, members := range settledByDomain(servers) {
		if hasMissing(c.ofDomain(domain)) {
			orders = append(orders, retileDomain(c, live, members)...)
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].ID < orders[j].ID })
	return orders
}

// retileDomain returns the next orders for a domain with missing layers: those of the best plan for neighbours that covers the
// missing layers as soon as a tiling of the whole model among all servers would, and otherwise those of that tiling.
func retileDomain(c, live *coverageMap, members []*Server) []Order {
	e, domain := c.engine, members[0].Domain
	sortAlongModel(members)
	chosen := tiling(e, members, c.layout(domain))
	latest := never - 1
	if soonest := live.timeToCover(domain, chosen); soonest < never {
		latest = soonest + sameTime
	}
	plans := windowPlans(c, members)
	for _, p := range plans[:min(len(plans), maxComparedPlans)] {
		if live.timeToCover(domain, p.tiles) <= latest {
			chosen = p.tiles
			break
		}
	}
	return ordersOf(nextOrders(e, live, chosen))
}

// lacksLayers reports whether a layer has no holder in some domain.
func (c *coverageMap) lacksLayers() bool {
	for _, d := range c.byDomain {
		if hasMissing(d) {
			return true
		}
	}
	return false
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

// tiling divides the model among the servers, which are sorted along the model, with as many sequences for each as their memory
// allows; it returns nil when their memory is too small.
func tiling(e *catalog.Engine, members []*Server, layout Layout) []tile {
	least := layout.retiled()
	fitting := sort.Search((layout.Sequences-least)/tilingStep+1, func(i int) bool {
		return totalLayers(e, members, least+i*tilingStep) < e.Layers
	})
	sequences := least + (fitting-1)*tilingStep
	if fitting == 0 || sequences == 0 {
		return nil
	}
	return spread(e, members, models.Layers{First: 0, End: e.Layers}, sequences)
}

// totalLayers returns the number of layers that the servers can hold together with the given number of sequences beside them.
func totalLayers(e *catalog.Engine, members []*Server, sequences int) int {
	total := 0
	for _, s := range members {
		total += LayersOf(e, s.Kind, sequences)
	}
	return total
}
