package placement

import (
	"fmt"
	"strings"

	"junctioncross/catalog"
)

const (
	// maxKnownLayouts and maxKnownEngines limit what a Planner keeps.
	maxKnownLayouts = 256
	maxKnownEngines = 16
)

// layoutKey identifies what a layout depends on: the engine's figures and the servers of each kind.
type layoutKey struct{ engine, kinds string }

// Planner plans the layouts of domains and keeps them, since the same servers are asked for in each round. What it returns
// depends only on the arguments. It is not safe for concurrent use.
type Planner struct {
	known map[layoutKey]Layout
	// figures holds the figures of engines as text: a new version of the configuration mostly repeats them.
	figures map[*catalog.Engine]string
}

// NewPlanner returns a Planner that knows no layouts yet.
func NewPlanner() *Planner {
	return &Planner{known: map[layoutKey]Layout{}, figures: map[*catalog.Engine]string{}}
}

// Layouts returns the layout of each domain. It depends only on how many servers of each kind a domain has, whatever they hold,
// so that each leader plans the same. Servers without a known kind do not count.
func (p *Planner) Layouts(f Fleet) map[string]Layout {
	kinds := map[string]kindCounts{}
	for i := range f.servers {
		s := &f.servers[i]
		if s.Kind != nil {
			kinds[s.Domain] = kinds[s.Domain].add(s.Kind)
		}
	}
	out := make(map[string]Layout, len(kinds))
	for domain, counts := range kinds {
		counts.sort()
		out[domain] = p.layout(f.engine, counts)
	}
	return out
}

// layout returns the layout of a domain with the given servers.
func (p *Planner) layout(e *catalog.Engine, counts kindCounts) Layout {
	var text strings.Builder
	for _, c := range counts {
		fmt.Fprintf(&text, "%d %q ", c.servers, c.kind.Name)
	}
	key := layoutKey{engine: p.figuresOf(e), kinds: text.String()}
	if l, ok := p.known[key]; ok {
		return l
	}
	if len(p.known) >= maxKnownLayouts {
		clear(p.known)
	}
	l := planDomain(e, counts)
	p.known[key] = l
	return l
}

// figuresOf returns the figures of an engine as text.
func (p *Planner) figuresOf(e *catalog.Engine) string {
	if text, ok := p.figures[e]; ok {
		return text
	}
	if len(p.figures) >= maxKnownEngines {
		clear(p.figures)
	}
	text := fmt.Sprintf("%+v", *e)
	p.figures[e] = text
	return text
}

// Decide returns the next orders that bring the servers nearer to what they should hold. It gives layers to empty servers
// first; only if there are none to give, one server moves, and only if none can, domains with missing layers are retiled.
func (p *Planner) Decide(f Fleet) []Order {
	return decide(newCoverageMap(f.engine, f.servers, p.Layouts(f)), f.servers)
}

// decide returns the next orders under the layouts of the coverage map.
func decide(c *coverageMap, servers []Server) []Order {
	if orders := append(fillEmpty(c, servers), replaceLost(c, servers)...); len(orders) > 0 {
		return orders
	}
	if orders := move(c, servers); len(orders) > 0 {
		return orders
	}
	return retile(c, servers)
}

// Decide returns the orders of a Planner that knows no layouts yet.
func Decide(e *catalog.Engine, servers []Server) []Order {
	return NewPlanner().Decide(NewFleet(e, servers))
}

// Summary returns the coverage as a Planner that knows no layouts yet gives it.
func Summary(e *catalog.Engine, servers []Server) []Coverage {
	return NewPlanner().Summary(NewFleet(e, servers))
}
