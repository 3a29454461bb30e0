package chain

import (
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
	holders [][]int
}

// NewGraph returns the graph of the servers of an engine; nodes without a kind or without a valid layer range are left out.
func NewGraph(engine *catalog.Engine, nodes []Node) *Graph {
	g := &Graph{engine: engine, nodeOf: map[int]int{}, holders: make([][]int, engine.Layers)}
	index := map[string]int{}
	for _, n := range nodes {
		if n.Kind == nil || n.Layers.Count() < 1 || n.Layers.First < 0 || n.Layers.End > engine.Layers {
			continue
		}
		d, ok := index[n.Domain]
		if !ok {
			d = len(g.domains)
			index[n.Domain] = d
			g.domains = append(g.domains, n.Domain)
		}
		for l := n.Layers.First; l < n.Layers.End; l++ {
			g.holders[l] = append(g.holders[l], len(g.nodes))
		}
		g.nodeOf[n.Server] = len(g.nodes)
		g.nodes = append(g.nodes, n)
		g.domain = append(g.domain, d)
	}
	g.delay = make([][]time.Duration, len(g.domains))
	for a := range g.domains {
		g.delay[a] = make([]time.Duration, len(g.domains))
		for b := range g.domains {
			g.delay[a][b] = engine.DelayBetween(g.domains[a], g.domains[b])
		}
	}
	return g
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
