package placement

import (
	"math"
	"sort"

	"junctioncross/catalog"
	"junctioncross/models"
)

const (
	// windowSteps is how many numbers of sequences are tried, evenly spaced from the lowest to the highest one of a layout.
	windowSteps = 6
	// maxWorseSizes is the number of window sizes without a better plan after which no larger ones are tried: each further server
	// that changes its range adds to the cost.
	maxWorseSizes = 3
	// maxWindow is the highest number of neighbouring servers in a window.
	maxWindow = 48
	// maxKeptPlans limits the plans that are kept until the best ones are chosen.
	maxKeptPlans = 8 * maxComparedPlans
	// windowStarts is about the number of windows of one size that are tried.
	windowStarts = 8
	// maxWindowWork bounds the windows of one size that are tried in a large domain of a long model, in windows times layers.
	maxWindowWork = 250_000
)

// rangePlan is a set of new ranges for neighbouring servers that covers all missing layers of their domain.
type rangePlan struct {
	tiles []tile
	// net is the gain without the costs; see change.
	net float64
}

// windowPlans returns the best worthwhile plans for a domain with missing layers, at least maxComparedPlans if there are as many, the best one first: neighbours along the model may
// take other ranges, and all other servers keep theirs. The servers are sorted along the model.
func windowPlans(c *coverageMap, members []*Server) []rangePlan {
	before, after := around(members, missingSpan(c.ofDomain(members[0].Domain)))
	var plans []rangePlan
	highest, worse := 0.0, 0
	largest := min(len(members), maxWindow)
	for size := 1; size <= largest && worse < maxWorseSizes; size = nextSize(size, largest) {
		last := highest
		from, to := max(before-size, 0), min(after, len(members)-size)
		stride := max(size/windowStarts, (to-from)*c.engine.Layers/maxWindowWork, 1)
		for first := from; first <= to; first += stride {
			for _, p := range c.plansFor(members, members[first:first+size]) {
				plans, highest = append(plans, p), max(highest, p.net)
			}
			if len(plans) > maxKeptPlans {
				plans = bestPlans(plans)[:maxComparedPlans]
			}
		}
		if last > 0 && highest == last {
			worse++
		}
	}
	return bestPlans(plans)
}

// bestPlans sorts plans, the best one first.
func bestPlans(plans []rangePlan) []rangePlan {
	sort.SliceStable(plans, func(i, j int) bool { return plans[i].net > plans[j].net })
	return plans
}

// around returns how many servers hold a range whose middle lies before a span of layers, and before the end of the span.
func around(members []*Server, span models.Layers) (before, after int) {
	before = sort.Search(len(members), func(i int) bool { return members[i].Layers.First+members[i].Layers.End >= 2*span.First })
	after = sort.Search(len(members), func(i int) bool { return members[i].Layers.First+members[i].Layers.End >= 2*span.End })
	return before, after
}

// nextSize returns the next window size to try: every size at first, then in growing steps up to the largest.
func nextSize(size, largest int) int {
	if size == largest {
		return largest + 1
	}
	return min(size+max(size/4, 1), largest)
}

// plansFor returns the worthwhile plans that change only the servers of a window; members are all servers of its domain.
func (c *coverageMap) plansFor(members, window []*Server) []rangePlan {
	domain := members[0].Domain
	before := c.domainValue(domain)
	for _, s := range window {
		c.add(s, s.Layers, -1)
	}
	defer func() {
		for _, s := range window {
			c.add(s, s.Layers, 1)
		}
	}()
	span, layout := missingSpan(c.ofDomain(domain)), c.layout(domain)
	var plans []rangePlan
	for i := range windowSteps {
		sequences := layout.retiled() + i*(layout.Sequences-layout.retiled())/(windowSteps-1)
		tiles := spread(c.engine, window, span, sequences)
		if tiles == nil {
			break
		}
		for _, option := range [][]tile{tiles, keepHeld(c.engine, tiles, sequences)} {
			made := c.changeTo(domain, option, before)
			made.gain += wholeCopyValue * float64(len(members))
			if made.worthwhile() {
				plans = append(plans, rangePlan{tiles: option, net: made.net()})
			}
		}
	}
	return plans
}

// changeTo returns the gain and the costs of new ranges for servers that the coverage does not count now; before is the domain's
// value with their present ranges.
func (c *coverageMap) changeTo(domain string, tiles []tile, before float64) change {
	var out change
	for _, t := range tiles {
		kept := common(t.layers, t.server.Layers)
		out.loaded += t.layers.Count() - kept
		if kept < t.server.Layers.Count() {
			out.cut++
		}
		c.add(t.server, t.layers, 1)
	}
	out.gain = before - c.domainValue(domain)
	for _, t := range tiles {
		c.add(t.server, t.layers, -1)
	}
	return out
}

// domainValue returns the value of another holder of each layer in the domain.
func (c *coverageMap) domainValue(domain string) float64 {
	return c.rangeValue(domain, models.Layers{First: 0, End: c.engine.Layers})
}

// missingSpan returns the shortest range that includes all layers without a holder.
func missingSpan(domain []float64) models.Layers {
	span := models.Layers{}
	for l, room := range domain {
		if room >= minRoom {
			continue
		}
		if span.Count() == 0 {
			span.First = l
		}
		span.End = l + 1
	}
	return span
}

// spread divides a range among servers in their order, as many layers to each as it can hold with the given number of sequences
// beside them; it returns nil when their memory is too small.
func spread(e *catalog.Engine, servers []*Server, span models.Layers, sequences int) []tile {
	total := totalLayers(e, servers, sequences)
	if total < span.Count() || total == 0 {
		return nil
	}
	tiles := make([]tile, 0, len(servers))
	sum := 0
	for _, s := range servers {
		n := LayersOf(e, s.Kind, sequences)
		// Layers that the servers can hold beyond one copy are spread evenly as overlaps between neighbours.
		first := span.First + int(math.Floor(float64(sum)*float64(span.Count())/float64(total)))
		count := min(n, span.Count())
		first = min(first, span.End-count)
		tiles = append(tiles, tile{server: s, layers: models.Layers{First: first, End: first + count}})
		sum += n
	}
	return tiles
}

// keepHeld returns the tiles, each extended by what its server holds if that leaves memory for the given number of sequences.
func keepHeld(e *catalog.Engine, tiles []tile, sequences int) []tile {
	out := make([]tile, 0, len(tiles))
	for _, t := range tiles {
		both := hull(t.server.Layers, t.layers)
		if sequencesOf(e, t.server.Kind, both.Count()) >= float64(sequences) {
			t.layers = both
		}
		out = append(out, t)
	}
	return out
}

// hull returns the shortest range that includes two others.
func hull(a, b models.Layers) models.Layers {
	switch {
	case a.Count() == 0:
		return b
	case b.Count() == 0:
		return a
	}
	return models.Layers{First: min(a.First, b.First), End: max(a.End, b.End)}
}

// common returns the number of layers that two ranges share.
func common(a, b models.Layers) int { return max(min(a.End, b.End)-max(a.First, b.First), 0) }

// sortAlongModel sorts servers by the middle of the ranges that they hold.
func sortAlongModel(members []*Server) {
	sort.SliceStable(members, func(i, j int) bool {
		a, b := members[i].Layers, members[j].Layers
		if a.First+a.End != b.First+b.End {
			return a.First+a.End < b.First+b.End
		}
		return members[i].ID < members[j].ID
	})
}
