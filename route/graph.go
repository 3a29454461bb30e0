package route

import (
	"sort"
	"time"

	"junctioncross/models"
)

// Node is one backend server in the graph.
type Node struct {
	// Server is the caller's index of the backend server.
	Server int
	Layers models.Layers
	// Weight is the server's speed in tokens a second through its layers.
	Weight float64
	// Step is the duration of one step with a full batch.
	Step time.Duration
}

// Graph holds the servers of one model that lie on some path from the first layer to the last.
type Graph struct {
	layers int
	// starts holds the candidates by their first layer.
	starts map[int]*candidates
	lanes  []Lane
}

// Lanes returns the lanes, the one with the highest rate first.
func (g *Graph) Lanes() []Lane {
	if g == nil {
		return nil
	}
	return g.lanes
}

type candidates struct {
	nodes []Node
	// cumulative holds the running sum of the nodes' weights.
	cumulative []float64
}

// NewGraph returns the graph of a model with the given number of layers. Servers that lie on no complete path are left out.
func NewGraph(layers int, nodes []Node) *Graph {
	g := &Graph{layers: layers, starts: map[int]*candidates{}}
	fromStart := reachable(nodes, 0, func(n Node) (int, int) { return n.Layers.First, n.Layers.End })
	toEnd := reachable(nodes, layers, func(n Node) (int, int) { return n.Layers.End, n.Layers.First })
	useful := make([]Node, 0, len(nodes))
	for _, n := range nodes {
		if !fromStart[n.Layers.First] || !toEnd[n.Layers.End] || n.Weight <= 0 {
			continue
		}
		g.add(n)
		useful = append(useful, n)
	}
	if len(useful) > 0 {
		g.lanes = lanesOf(layers, useful)
	}
	return g
}

// reachable returns the layer boundaries that can be reached from the boundary at through servers that each run all their
// layers. The function ends gives the direction: a server leads from one boundary to the other.
func reachable(nodes []Node, at int, ends func(Node) (from, to int)) map[int]bool {
	seen := map[int]bool{at: true}
	for grown := true; grown; {
		grown = false
		for _, n := range nodes {
			from, to := ends(n)
			if seen[from] && !seen[to] {
				seen[to] = true
				grown = true
			}
		}
	}
	return seen
}

func (g *Graph) add(n Node) {
	c := g.starts[n.Layers.First]
	if c == nil {
		c = &candidates{}
		g.starts[n.Layers.First] = c
	}
	total := n.Weight
	if len(c.cumulative) > 0 {
		total += c.cumulative[len(c.cumulative)-1]
	}
	c.nodes = append(c.nodes, n)
	c.cumulative = append(c.cumulative, total)
}

// Empty reports whether no path leads from the first layer to the last.
func (g *Graph) Empty() bool { return g == nil || g.starts[0] == nil }

// pick returns the index of a candidate drawn by weight; random is uniform in [0, 1).
func (c *candidates) pick(random float64) int {
	target := random * c.cumulative[len(c.cumulative)-1]
	i := sort.SearchFloat64s(c.cumulative, target)
	return min(i, len(c.nodes)-1)
}
