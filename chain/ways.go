package chain

import (
	"math"
	"time"
)

// way is the best known way from the first layer to the boundary before a layer.
type way struct {
	// sequences is the number of sequences that every server of the way has memory for; 0 means that there is no way.
	sequences float64
	cost      time.Duration
	node      int
	from      int
	crossings int
}

const (
	// crossingWorth multiplies what a way is worth with each crossing, so that a narrow way with few goes before a wide one
	// with many: each carries all activations.
	crossingWorth = 0.5
	// mostCrossings bounds the crossings of a lane.
	mostCrossings = 4
	// same is how much wider a way must be to count as wider; rounding shall not decide between fast and slow.
	same = 1.1
	// widthShare is the part of the widest lane's width that a fast lane must have: many narrow lanes leave memory unused that
	// no lane can reach.
	widthShare = 0.5
	// together is the part of a lane's sequences that share one pass of a server, as measured: the others are at other servers.
	together = 0.25
)

// worth is what a way is compared by where width counts.
func (w *way) worth() float64 { return w.sequences * math.Pow(crossingWorth, float64(w.crossings)) }

// wider reports whether way a has memory for more sequences than b, or as much and is faster.
func wider(a, b *way) bool {
	return a.worth() > b.worth()*same || a.worth() > b.worth()/same && a.cost < b.cost
}

// faster reports whether a token passes way a in less time than b.
func faster(a, b *way) bool { return b.sequences == 0 || a.cost < b.cost }

// search returns the best way to each boundary over the nodes of a domain, or of all, that have memory for at least so many
// sequences.
func (s *split) search(domain int, atLeast float64, better func(a, b *way) bool) []way {
	best := make([]way, s.graph.engine.Layers+1)
	best[0] = way{sequences: float64(s.graph.engine.BatchSize), node: -1}
	if best[0].sequences == 0 {
		best[0].sequences = math.MaxInt32
	}
	for at := range s.graph.engine.Layers {
		if best[at].sequences == 0 {
			continue
		}
		for _, n := range s.graph.holders[at] {
			if domain != allDomains && s.graph.domain[n] != domain {
				continue
			}
			to := &best[s.graph.nodes[n].Layers.End]
			if w := s.through(&best[at], n, at); w.sequences >= atLeast && w.crossings <= mostCrossings && better(&w, to) {
				*to = w
			}
		}
	}
	return best
}

// through returns the way that goes on through node n from the boundary at, to the end of the node's range.
func (s *split) through(before *way, n, at int) way {
	node := &s.graph.nodes[n]
	layers := node.Layers.End - at
	w := way{node: n, from: at, crossings: before.crossings, cost: before.cost + handOff}
	w.sequences = min(before.sequences, s.left[n]/float64(layers*max(s.need.Tokens, 1)))
	step := StepTime(s.graph.engine, node.Kind, layers, together*w.sequences, float64(s.need.Tokens))
	w.cost += time.Duration(float64(step) * (1 + busyWait) * max(s.pace[n], 1))
	if last := before.node; last >= 0 && s.graph.domain[last] != s.graph.domain[n] {
		w.cost += s.graph.delay[s.graph.domain[last]][s.graph.domain[n]] + crossing
		w.crossings++
	}
	return w
}

// Narrowest returns the server of a path that has memory for the fewest sequences.
func Narrowest(g *Graph, hops []Hop) int {
	least, server := math.Inf(1), -1
	for _, h := range hops {
		n, ok := g.nodeOf[h.Server]
		if !ok {
			continue
		}
		node := &g.nodes[n]
		if room := Room(g.engine, node.Kind, node.Layers.Count()) / float64(h.Layers.Count()); room < least {
			least, server = room, h.Server
		}
	}
	return server
}
