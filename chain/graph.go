package chain

import (
	"slices"
	"time"

	"junctioncross/catalog"
	"junctioncross/models"
)

// Node is a backend server in the graph.
type Node struct {
	// Server is the caller's index of the server.
	Server int
	Domain string
	Kind   *catalog.Kind
	Layers models.Layers
}

// Graph holds the servers of one model with the layers and the domain of each.
type Graph struct {
	engine  *catalog.Engine
	nodes   []Node
	domains []string
	// domain holds, for each node, the index of its domain in domains.
	domain []int
	// nodeOf holds the index of the node of each server.
	nodeOf map[int]int
	// delay holds the one-way delay between two domains, by their indices.
	delay [][]time.Duration
	// holders lists the nodes that hold each layer.
	holders [][]int32
}

// NewGraph returns the graph of the servers of an engine; nodes without a kind or without a valid layer range are left out, and so are those
// outside of the largest domains.
func NewGraph(engine *catalog.Engine, nodes []Node) *Graph {
	g := &Graph{engine: engine, nodeOf: map[int]int{}}
	nodes = OfLargestDomains(validNodes(engine, nodes), func(n Node) string { return n.Domain })
	index := map[string]int{}
	for _, n := range nodes {
		d, ok := index[n.Domain]
		if !ok {
			d = len(g.domains)
			index[n.Domain] = d
			g.domains = append(g.domains, n.Domain)
		}
		g.nodeOf[n.Server] = len(g.nodes)
		g.nodes = append(g.nodes, n)
		g.domain = append(g.domain, d)
	}
	g.holders = holdersOf(engine, g.nodes)
	g.delay = make([][]time.Duration, len(g.domains))
	for a := range g.domains {
		g.delay[a] = make([]time.Duration, len(g.domains))
	}
	// The first delay of a pair applies, in either direction.
	for _, d := range slices.Backward(engine.Delays) {
		a, knownA := index[d.From]
		b, knownB := index[d.To]
		if knownA && knownB {
			g.delay[a][b], g.delay[b][a] = d.Time, d.Time
		}
	}
	return g
}

// validNodes returns the nodes of a known kind that hold layers of the model.
func validNodes(engine *catalog.Engine, nodes []Node) []Node {
	out := make([]Node, 0, len(nodes))
	for _, n := range nodes {
		if n.Kind != nil && n.Layers.Count() >= 1 && engine.HasLayers(n.Layers) {
			out = append(out, n)
		}
	}
	return out
}

// holdersOf lists the nodes that hold each layer. All lists are parts of one array: where servers hold most of a long model, lists that grow
// one by one would take several times their length.
func holdersOf(engine *catalog.Engine, nodes []Node) [][]int32 {
	out, total := make([][]int32, engine.Layers), 0
	counts := make([]int, engine.Layers)
	for _, n := range nodes {
		total += n.Layers.Count()
		for l := n.Layers.First; l < n.Layers.End; l++ {
			counts[l]++
		}
	}
	all := make([]int32, total)
	for l, count := range counts {
		out[l], all = all[:0:count], all[count:]
	}
	for i, n := range nodes {
		for l := n.Layers.First; l < n.Layers.End; l++ {
			out[l] = append(out[l], int32(i))
		}
	}
	return out
}

// domainOfServer returns the index of a server's domain, or -1 if the server is not in the graph.
func (g *Graph) domainOfServer(server int) int {
	if n, ok := g.nodeOf[server]; ok {
		return g.domain[n]
	}
	return -1
}

// Engine returns the cost model of the graph's servers.
func (g *Graph) Engine() *catalog.Engine { return g.engine }

// CoversAllLayers reports whether every layer has a holder.
func (g *Graph) CoversAllLayers() bool {
	for _, h := range g.holders {
		if len(h) == 0 {
			return false
		}
	}
	return true
}
