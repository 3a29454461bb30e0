package chain

import (
	"time"

	"junctioncross/models"
)

const (
	// crossingContention is the factor by which the tokens of a repaired stream take longer between domains than on an idle link:
	// when a server is lost, many streams are repaired over the same link at once.
	crossingContention = 4.0
)

// RepairRequest describes a path that has lost servers and what is needed to repair it.
type RepairRequest struct {
	// Hops is the path before the repair.
	Hops []Hop
	// Lost reports whether a server of the path must be replaced.
	Lost func(server int) bool
	// Tokens is the number of tokens of the stream so far, which each new server has to read.
	Tokens int
	// Jitter returns a random factor near 1 for the cost of a server, so that instances that repair paths at the same time do not
	// all choose the same server.
	Jitter func() float64
}

// RepairPath returns the path with other servers in place of the lost ones only. The servers that are kept still hold the stream
// in memory, while each new one has to read every token so far. False means that no usable servers can replace the lost ones.
func RepairPath(g *Graph, state State, r RepairRequest) ([]Hop, bool) {
	if !tiles(g, r.Hops) {
		return nil, false
	}
	used := make(map[int]bool, len(r.Hops))
	for _, h := range r.Hops {
		used[h.Server] = true
	}
	var out []Hop
	for i := 0; i < len(r.Hops); {
		if !r.Lost(r.Hops[i].Server) {
			out = append(out, r.Hops[i])
			i++
			continue
		}
		gap := models.Layers{First: r.Hops[i].Layers.First}
		for i < len(r.Hops) && r.Lost(r.Hops[i].Server) {
			gap.End = r.Hops[i].Layers.End
			i++
		}
		filler := &gapFiller{graph: g, state: state, repair: r, used: used, gap: gap, domainBefore: -1, domainAfter: -1}
		if len(out) > 0 {
			filler.domainBefore = g.domainOfServer(out[len(out)-1].Server)
		}
		if i < len(r.Hops) {
			filler.domainAfter = g.domainOfServer(r.Hops[i].Server)
		}
		hops, ok := filler.fill()
		if !ok {
			return nil, false
		}
		for _, h := range hops {
			used[h.Server] = true
		}
		out = append(out, hops...)
	}
	return out, true
}

// tiles reports whether each hop of a path runs layers of the model and begins where the one before it ends. The path may have been chosen
// under another configuration.
func tiles(g *Graph, hops []Hop) bool {
	at := 0
	for i, h := range hops {
		if i > 0 && h.Layers.First != at || h.Layers.Count() < 1 || !g.engine.HasLayers(h.Layers) {
			return false
		}
		at = h.Layers.End
	}
	return true
}

// gapFiller finds servers for one gap of a path: the layers of consecutive lost servers.
type gapFiller struct {
	graph  *Graph
	state  State
	repair RepairRequest
	used   map[int]bool
	gap    models.Layers
	// domainBefore and domainAfter are the domains of the hops next to the gap, or -1 where there is none.
	domainBefore, domainAfter int
	// best holds the cheapest partial path to each boundary of the gap, for each domain of its last server.
	best []partialPath
}

// fill returns the cheapest hops through the gap; false means that there are none.
func (f *gapFiller) fill() ([]Hop, bool) {
	domains := len(f.graph.domains)
	f.best = make([]partialPath, (f.gap.Count()+1)*domains)
	for i := range f.best {
		f.best[i].cost = unreached
	}
	for d := range domains {
		if f.domainBefore < 0 || f.domainBefore == d {
			f.best[d] = partialPath{node: -1}
		}
	}
	for at := f.gap.First; at < f.gap.End; at++ {
		if !anyReached(f.row(at)) {
			continue
		}
		for _, n := range f.graph.holders[at] {
			f.extend(int(n), at)
		}
	}
	return f.trace()
}

// row returns the partial paths that end at the boundary before layer at, by the domain of their last server.
func (f *gapFiller) row(at int) []partialPath {
	domains := len(f.graph.domains)
	first := (at - f.gap.First) * domains
	return f.best[first : first+domains]
}

// extend adds node n to the paths that end at the boundary before layer at, and keeps those that are cheaper than the ones known
// so far. The node runs the layers up to the end of its range or of the gap.
func (f *gapFiller) extend(n, at int) {
	node := &f.graph.nodes[n]
	if f.used[node.Server] || f.repair.Lost(node.Server) || !f.state.Usable(node.Server) {
		return
	}
	end := min(node.Layers.End, f.gap.End)
	if f.state.Room(node.Server) < float64(f.repair.Tokens)*float64(end-at) {
		return
	}
	read := ReadTime(f.graph.engine, node.Kind, end-at, f.repair.Tokens) + hopDelay
	cost := duration(float64(read) * f.state.Penalty(node.Server) * f.repair.Jitter())
	to := f.graph.domain[n]
	target := &f.row(end)[to]
	for d, from := range f.row(at) {
		if from.cost == unreached {
			continue
		}
		total := from.cost + cost + f.crossingCost(d, to)
		if end == f.gap.End && f.domainAfter >= 0 {
			total += f.crossingCost(to, f.domainAfter)
		}
		if total < target.cost {
			*target = partialPath{cost: total, node: n, from: at, fromDomain: d}
		}
	}
}

// crossingCost returns the time that it takes to send the stream's tokens from one domain to another, with crossingPenalty.
func (f *gapFiller) crossingCost(from, to int) time.Duration {
	if from == to {
		return 0
	}
	e := f.graph.engine
	cost := f.graph.delay[from][to] + crossingPenalty
	if e.LinkMbps > 0 {
		seconds := crossingContention * float64(f.repair.Tokens) * e.ActivationBytes / (e.LinkMbps * megabit)
		cost += duration(seconds * float64(time.Second))
	}
	return cost
}

// trace follows the cheapest path back from the end of the gap and returns its hops in order.
func (f *gapFiller) trace() ([]Hop, bool) {
	at, domain := f.gap.End, -1
	for d, r := range f.row(at) {
		if r.cost != unreached && (domain < 0 || r.cost < f.row(at)[domain].cost) {
			domain = d
		}
	}
	if domain < 0 {
		return nil, false
	}
	var hops []Hop
	for at > f.gap.First {
		r := f.row(at)[domain]
		hops = append([]Hop{{Server: f.graph.nodes[r.node].Server, Layers: models.Layers{First: r.from, End: at}}}, hops...)
		at, domain = r.from, r.fromDomain
	}
	return hops, true
}
