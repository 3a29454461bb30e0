package chain

import (
	"math"
	"time"

	"junctioncross/models"
)

const (
	// hopDelay is the time that an activation takes to the next server of the same domain: a fraction of a millisecond on
	// the users' networks.
	hopDelay = 200 * time.Microsecond
	// crossingPenalty is added to the delay of each hop to another domain, so that paths stay in one domain while that has
	// room: all paths share the links between domains.
	crossingPenalty = 4 * time.Millisecond
	// meanStepWait is the mean time that a token waits for the server's running step to end, as a fraction of a step.
	meanStepWait = 0.5
)

// State describes the servers at the moment when a path is chosen.
type State interface {
	// Usable reports whether the server may be given new work.
	Usable(server int) bool
	// Sequences returns the estimated number of sequences on the server.
	Sequences(server int) float64
	// Room returns the estimated free memory of the server, in tokens times layers.
	Room(server int) float64
	// Penalty returns the factor for the predicted time of the server: 1 at its usual speed, more when it is slower.
	Penalty(server int) float64
}

// Need describes what a request requires of its path.
type Need struct {
	// Prompt is the number of prompt tokens that the servers read (prefill) before the first token of the answer.
	Prompt int
	// Tokens is the number of tokens that the servers hold in memory at the end of the request.
	Tokens int
	// Domain is the failure domain in which the path should start.
	Domain string
}

// Hop is one server of a path, with the layers that it runs.
type Hop struct {
	Server int
	Layers models.Layers
}

// Path is a sequence of servers whose layer ranges tile the requested layers, with the predicted times.
type Path struct {
	Hops []Hop
	// Step is the predicted time between two tokens, including crossingPenalty for each hop to another domain.
	Step time.Duration
	// Read is the predicted time to read the prompt on servers that read no other prompt meanwhile.
	Read time.Duration
}

// Choose returns the path through all layers with the shortest predicted time; false means that there is none.
func Choose(g *Graph, state State, need Need) (Path, bool) {
	return choose(g, state, need, 0, -1)
}

// Extend returns the path through the layers after those of first, the first hop of an existing path, which is kept as it is
// and is not part of the result; false means that there is none.
func Extend(g *Graph, state State, need Need, first Hop) (Path, bool) {
	return choose(g, state, need, first.Layers.End, first.Server)
}

// partialPath is the cheapest known path that ends at the boundary before a given layer, with its last server in a given domain.
type partialPath struct {
	cost time.Duration
	// node is the last node of the path, or -1 at its start.
	node int
	// from is the boundary at which that node is entered, and fromDomain the index of the domain of the node before it.
	from       int
	fromDomain int
}

// unreached is the cost of a boundary to which no path is known.
const unreached = time.Duration(math.MaxInt64)

// choose finds the path with the lowest cost by dynamic programming over the boundaries between layers, from start on. A path
// may enter a server at any layer that it holds and runs it to the end of its range, so that no server is on a path twice. The
// parameter used is a server to leave out, or -1.
func choose(g *Graph, state State, need Need, start, used int) (Path, bool) {
	if start < 0 || start > g.engine.Layers {
		return Path{}, false
	}
	domains := len(g.domains)
	best := make([]partialPath, (g.engine.Layers+1)*domains)
	for i := range best {
		best[i].cost = unreached
	}
	markStart(g, best, need, start, used)
	usable := usableNodes(g, state, used)
	for at := start; at < g.engine.Layers; at++ {
		row := best[at*domains : (at+1)*domains]
		if !anyReached(row) {
			continue
		}
		for _, n := range g.holders[at] {
			if !usable[n] {
				continue
			}
			relax(g, state, need, best, row, int(n), at)
		}
	}
	return trace(g, best, need, start)
}

// markStart sets the cost of the starting point to 0: in the domain of the kept first hop, or else in that of the request, or in
// the first domain if no server is in that one.
func markStart(g *Graph, best []partialPath, need Need, start, used int) {
	domain := need.Domain
	for i, n := range g.nodes {
		if n.Server == used {
			domain = g.domains[g.domain[i]]
		}
	}
	row := best[start*len(g.domains) : (start+1)*len(g.domains)]
	for d := range row {
		row[d].node = -1
		if g.domains[d] == domain {
			row[d].cost = 0
			return
		}
	}
	if len(row) > 0 {
		row[0].cost = 0
	}
}

func anyReached(row []partialPath) bool {
	for _, r := range row {
		if r.cost != unreached {
			return true
		}
	}
	return false
}

func usableNodes(g *Graph, state State, used int) []bool {
	out := make([]bool, len(g.nodes))
	for i, n := range g.nodes {
		out[i] = n.Server != used && state.Usable(n.Server)
	}
	return out
}

// relax adds node n to the paths in row, which end at the boundary before layer at, and keeps those that are cheaper than the
// ones known so far.
func relax(g *Graph, state State, need Need, best, row []partialPath, n, at int) {
	node := &g.nodes[n]
	layers := node.Layers.End - at
	if state.Room(node.Server) < float64(need.Tokens)*float64(layers) {
		return
	}
	step := duration(float64(nodeStep(g, state, need, node, layers)) * state.Penalty(node.Server))
	to := g.domain[n]
	target := &best[node.Layers.End*len(g.domains)+to]
	for d := range row {
		if row[d].cost == unreached {
			continue
		}
		cost := row[d].cost + step + hopDelay
		if d != to {
			cost += g.delay[d][to] + crossingPenalty
		}
		if cost < target.cost {
			*target = partialPath{cost: cost, node: n, from: at, fromDomain: d}
		}
	}
}

// nodeStep predicts the time of a token at a node: a step with one more sequence, and the wait for the step before it.
func nodeStep(g *Graph, state State, need Need, node *Node, layers int) time.Duration {
	own := StepTime(g.engine, node.Kind, layers, state.Sequences(node.Server)+1, float64(need.Tokens))
	return duration(float64(own) * (1 + meanStepWait))
}

// trace follows the cheapest path back from the last layer and returns it in order; false means that there is none.
func trace(g *Graph, best []partialPath, need Need, start int) (Path, bool) {
	domains := len(g.domains)
	at, domain := g.engine.Layers, -1
	for d := range domains {
		r := best[at*domains+d]
		if r.cost != unreached && (domain < 0 || r.cost < best[at*domains+domain].cost) {
			domain = d
		}
	}
	if domain < 0 {
		return Path{}, false
	}
	p := Path{Step: best[at*domains+domain].cost}
	for at > start {
		r := best[at*domains+domain]
		node := &g.nodes[r.node]
		p.Hops = append(p.Hops, Hop{Server: node.Server, Layers: models.Layers{First: r.from, End: at}})
		p.Read += ReadTime(g.engine, node.Kind, at-r.from, need.Prompt)
		at, domain = r.from, r.fromDomain
	}
	for i, j := 0, len(p.Hops)-1; i < j; i, j = i+1, j-1 {
		p.Hops[i], p.Hops[j] = p.Hops[j], p.Hops[i]
	}
	return p, true
}
