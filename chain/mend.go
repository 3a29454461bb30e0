package chain

import (
	"time"

	"junctioncross/models"
)

const (
	// crossingQueue is how many times longer than alone a repaired stream's tokens take between domains: a server that is
	// lost sends many streams over the same link at once.
	crossingQueue = 4.0
)

// Repair is what a path that has lost parts asks for.
type Repair struct {
	// Hops is the path as it was.
	Hops []Hop
	// Lost reports whether a server of the path must be replaced.
	Lost func(server int) bool
	// Tokens is the number of tokens that new parts have to read.
	Tokens int
	// Spread returns a factor near 1 for each server, so that instances which repair at once do not all choose the same.
	Spread func() float64
}

// Mend returns the path with other servers in place of the lost ones, as few as that takes: the others keep their memory of
// the stream, while each new part reads every token so far. False means that no server can take the place.
func Mend(g *Graph, state State, r Repair) ([]Hop, bool) {
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
		m := &mender{graph: g, state: state, repair: r, used: used, gap: gap, before: -1, after: -1}
		if len(out) > 0 {
			m.before = g.domainOfServer(out[len(out)-1].Server)
		}
		if i < len(r.Hops) {
			m.after = g.domainOfServer(r.Hops[i].Server)
		}
		hops, ok := m.fill()
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

// mender fills one gap of a path.
type mender struct {
	graph  *Graph
	state  State
	repair Repair
	used   map[int]bool
	gap    models.Layers
	// before and after are the domains of the parts next to the gap, -1 where there is none.
	before, after int
	best          []reach
}

// fill finds the cheapest way through the gap, over boundaries and the domain of the last server.
func (m *mender) fill() ([]Hop, bool) {
	domains := len(m.graph.domains)
	m.best = make([]reach, (m.gap.Count()+1)*domains)
	for i := range m.best {
		m.best[i].cost = unreached
	}
	for d := range domains {
		if m.before < 0 || m.before == d {
			m.best[d] = reach{node: -1}
		}
	}
	for at := m.gap.First; at < m.gap.End; at++ {
		if !reached(m.row(at)) {
			continue
		}
		for _, n := range m.graph.holders[at] {
			m.extend(n, at)
		}
	}
	return m.trace()
}

func (m *mender) row(at int) []reach {
	domains := len(m.graph.domains)
	first := (at - m.gap.First) * domains
	return m.best[first : first+domains]
}

// extend goes through node n from the boundary at, to the end of its range or of the gap.
func (m *mender) extend(n, at int) {
	node := &m.graph.nodes[n]
	if m.used[node.Server] || m.repair.Lost(node.Server) || !m.state.Usable(node.Server) {
		return
	}
	end := min(node.Layers.End, m.gap.End)
	if m.state.Room(node.Server) < float64(m.repair.Tokens*(end-at)) {
		return
	}
	read := ReadTime(m.graph.engine, node.Kind, end-at, m.repair.Tokens) + handOff
	cost := time.Duration(float64(read) * m.state.Penalty(node.Server) * m.repair.Spread())
	to := m.graph.domain[n]
	target := &m.row(end)[to]
	for d, from := range m.row(at) {
		if from.cost == unreached {
			continue
		}
		total := from.cost + cost + m.crossing(d, to)
		if end == m.gap.End && m.after >= 0 {
			total += m.crossing(to, m.after)
		}
		if total < target.cost {
			*target = reach{cost: total, node: n, from: at, fromDomain: d}
		}
	}
}

// crossing returns what it takes to send the stream's tokens from one domain to another.
func (m *mender) crossing(from, to int) time.Duration {
	if from == to {
		return 0
	}
	e := m.graph.engine
	cost := m.graph.delay[from][to] + crossing
	if e.PipeMbps > 0 {
		seconds := crossingQueue * float64(m.repair.Tokens) * e.ActivationBytes / (e.PipeMbps * megabit)
		cost += time.Duration(seconds * float64(time.Second))
	}
	return cost
}

func (m *mender) trace() ([]Hop, bool) {
	at, domain := m.gap.End, -1
	for d, r := range m.row(at) {
		if r.cost != unreached && (domain < 0 || r.cost < m.row(at)[domain].cost) {
			domain = d
		}
	}
	if domain < 0 {
		return nil, false
	}
	var hops []Hop
	for at > m.gap.First {
		r := m.row(at)[domain]
		hops = append([]Hop{{Server: m.graph.nodes[r.node].Server, Layers: models.Layers{First: r.from, End: at}}}, hops...)
		at, domain = r.from, r.fromDomain
	}
	return hops, true
}
