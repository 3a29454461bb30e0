package chain

import (
	"math"
	"time"

	"junctioncross/models"
)

const (
	// hopDelay is the time for an activation to reach the next server of the same domain: a fraction of a millisecond on
	// the users' networks.
	hopDelay = 200 * time.Microsecond
	// crossingPenalty is what passing to another domain counts beside its delay, so that paths stay in one domain while that has
	// room: the links between domains are shared by all.
	crossingPenalty = 4 * time.Millisecond
	// meanStepWait is the part of a server's step that a token waits on the mean for the step before it.
	meanStepWait = 0.5
)

// State tells the state of the servers at the moment of a choice.
type State interface {
	// Usable reports whether the server may get new work.
	Usable(server int) bool
	// Sequences returns the estimated number of sequences on the server.
	Sequences(server int) float64
	// Room returns the memory that is estimated to be free on the server, in tokens times layers.
	Room(server int) float64
	// Penalty multiplies the predicted time of the server; 1 for a server at its usual speed.
	Penalty(server int) float64
}

// Need is what a request asks of its path.
type Need struct {
	// Prompt is the number of tokens that have to be read first.
	Prompt int
	// Tokens is the number of tokens to be held at the end.
	Tokens int
	// Domain is the failure domain in which the path should start.
	Domain string
}

// Hop is one server of a path.
type Hop struct {
	Server int
	Layers models.Layers
}

// Path is a sequence of servers whose layers tile what was asked for, with the predicted times.
type Path struct {
	Hops []Hop
	// Step is the predicted time between two tokens.
	Step time.Duration
	// Read is the predicted time to read the prompt when nothing else is read.
	Read time.Duration
}

// Choose returns the path through all layers with the least predicted time; false means that there is none.
func Choose(g *Graph, state State, need Need) (Path, bool) {
	return choose(g, state, need, 0, -1)
}

// Extend returns the path through the layers behind those of a first part, which stays as it is.
func Extend(g *Graph, state State, need Need, first Hop) (Path, bool) {
	return choose(g, state, need, first.Layers.End, first.Server)
}

// partialPath is the best known way to the boundary before a layer, with the last server in one domain.
type partialPath struct {
	cost time.Duration
	// node and from say how the boundary was reached; node is -1 at the start.
	node       int
	from       int
	fromDomain int
}

const unreached = time.Duration(math.MaxInt64)

// choose runs over the boundaries in order; a server is entered at any layer that it holds and run to the end of its range,
// so that no server stands on a path twice.
func choose(g *Graph, state State, need Need, start, used int) (Path, bool) {
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
			relax(g, state, need, best, row, n, at)
		}
	}
	return trace(g, best, need, start)
}

// markStart marks where the path starts: in the domain of the caller or of the part that stays.
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

// relax goes through node n from the boundary at and keeps what is better than known before.
func relax(g *Graph, state State, need Need, best, row []partialPath, n, at int) {
	node := &g.nodes[n]
	layers := node.Layers.End - at
	if state.Room(node.Server) < float64(need.Tokens*layers) {
		return
	}
	step := time.Duration(float64(nodeStep(g, state, need, node, layers)) * state.Penalty(node.Server))
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

// nodeStep predicts what a token takes at a node: its step with one more sequence, and the wait for the step before.
func nodeStep(g *Graph, state State, need Need, node *Node, layers int) time.Duration {
	own := StepTime(g.engine, node.Kind, layers, state.Sequences(node.Server)+1, float64(need.Tokens))
	return time.Duration(float64(own) * (1 + meanStepWait))
}

// trace follows the best way back from the last layer.
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
