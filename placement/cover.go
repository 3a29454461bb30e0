package placement

import (
	"math"
	"time"

	"junctioncross/catalog"
	"junctioncross/models"
)

// coverageMap holds, for each layer, the number of sequences that its holders have memory for: over all domains and for each
// one.
type coverageMap struct {
	engine *catalog.Engine
	// layouts holds the layouts of the domains.
	layouts  map[string]Layout
	all      []float64
	byDomain map[string][]float64
	// fastest holds, by domain and layer, the step time of the fastest server that has been added as a holder; 0 means none.
	// Servers that are taken off again still count.
	fastest map[string][]time.Duration
	// sums is scratch space of bestRange.
	sums []float64
}

// newCoverageMap returns the coverage by all servers under the given layouts, with the layers that orders under way give them.
func newCoverageMap(e *catalog.Engine, servers []Server, layouts map[string]Layout) *coverageMap {
	c := &coverageMap{
		engine: e, layouts: layouts, all: make([]float64, e.Layers), byDomain: map[string][]float64{}, fastest: map[string][]time.Duration{},
	}
	for i := range servers {
		c.add(&servers[i], servers[i].Layers, 1)
	}
	return c
}

// layout returns the layout of a domain.
func (c *coverageMap) layout(domain string) Layout {
	if l, ok := c.layouts[domain]; ok {
		return l
	}
	return defaultLayout()
}

// ofDomain returns the sequences that the holders of each layer in the domain have memory for.
func (c *coverageMap) ofDomain(domain string) []float64 {
	d := c.byDomain[domain]
	if d == nil {
		d = make([]float64, c.engine.Layers)
		c.byDomain[domain] = d
		c.fastest[domain] = make([]time.Duration, c.engine.Layers)
	}
	return d
}

// add counts a server as a holder of a range of layers; sign -1 takes it off again.
func (c *coverageMap) add(s *Server, r models.Layers, sign float64) {
	d := c.ofDomain(s.Domain)
	own := time.Duration(math.MaxInt64)
	if s.Kind != nil {
		own = stepTime(c.engine, s.Kind, c.layout(s.Domain).Sequences)
	}
	room := sign * max(sequencesOf(c.engine, s.Kind, r.Count()), 1)
	for l := max(r.First, 0); l < min(r.End, c.engine.Layers); l++ {
		c.all[l] += room
		d[l] += room
		if f := &c.fastest[s.Domain][l]; sign > 0 && (*f == 0 || own < *f) {
			*f = own
		}
	}
}

const (
	// missingInFleet and missingInDomain are the values of holding a layer that has no holder at all, or none in the domain.
	// A layer whose holders have the room of one server of the layout has a value of about 1. Without any holder no request is
	// served; without one in the domain paths cross to other domains.
	missingInFleet  = 10000.0
	missingInDomain = 100.0
	// loadCost is subtracted from the gain of a change for each layer that it loads. It is low compared with the value of a missing
	// layer: loading takes seconds of one server, a missing layer sends all paths of its domain over the links between domains.
	loadCost = 2.0
	// minRoom is the number of sequences below which a layer counts as having no holder; rounding may leave a small
	// remainder there.
	minRoom = 0.5
)

// layerValue returns the value of another holder of layer l in the domain: the more room its holders have in comparison with
// the wanted number of sequences, the lower.
func (c *coverageMap) layerValue(domain []float64, l, wanted int) float64 {
	switch {
	case c.all[l] < minRoom:
		return missingInFleet
	case domain[l] < minRoom:
		return missingInDomain
	default:
		share := domain[l]/float64(wanted) + 0.1
		return 1 / (share * share)
	}
}

// bestRange returns the range of n layers with the highest value in the domain, the first one if several have it, and that
// value.
func (c *coverageMap) bestRange(domain string, n int) (models.Layers, float64) {
	d, wanted := c.ofDomain(domain), c.layout(domain).Sequences
	if c.sums == nil {
		c.sums = make([]float64, c.engine.Layers+1)
	}
	sums := c.sums
	for l := range c.engine.Layers {
		sums[l+1] = sums[l] + c.layerValue(d, l, wanted)
	}
	best, highest := 0, -1.0
	for first := 0; first+n <= c.engine.Layers; first++ {
		// The tolerance keeps the first of several equal ranges despite rounding.
		if v := sums[first+n] - sums[first]; v > highest+1e-6 {
			best, highest = first, v
		}
	}
	return models.Layers{First: best, End: best + n}, highest
}

// rangeValue returns the value of another holder of a range in the domain.
func (c *coverageMap) rangeValue(domain string, r models.Layers) float64 {
	d, wanted := c.ofDomain(domain), c.layout(domain).Sequences
	total := 0.0
	for l := max(r.First, 0); l < min(r.End, c.engine.Layers); l++ {
		total += c.layerValue(d, l, wanted)
	}
	return total
}

// settledCoverageMap returns the coverage by the servers without an order under way, which hold their layers now.
func settledCoverageMap(e *catalog.Engine, servers []Server, layouts map[string]Layout) *coverageMap {
	settled := make([]Server, 0, len(servers))
	for _, s := range servers {
		if s.Settled {
			settled = append(settled, s)
		}
	}
	return newCoverageMap(e, settled, layouts)
}

// isRedundant reports whether every layer of a server has another holder in its domain.
func (c *coverageMap) isRedundant(s *Server) bool {
	return c.othersHold(s, models.Layers{})
}
