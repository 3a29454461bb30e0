package chain

import (
	"math"
	"time"
)

// partialLane is the best known partialLane from the first layer to the boundary before a layer.
type partialLane struct {
	// sequences is the number of sequences that every server of the way has memory for; 0 means that there is no way.
	sequences float64
	cost      time.Duration
	node      int
	from      int
	crossings int
}

const (
	// crossingWeight multiplies what a way is worth with each crossing, so that a narrow way with few goes before a wide one
	// with many: each carries all activations.
	crossingWeight = 0.5
	// maxCrossings bounds the crossings of a lane.
	maxCrossings = 4
	// widthTolerance is how much wider a way must be to count as wider; rounding shall not decide between fast and slow.
	widthTolerance = 1.1
	// minWidthShare is the part of the widest lane's width that a fast lane must have: many narrow lanes leave memory unused that
	// no lane can reach.
	minWidthShare = 0.5
	// batchShare is the part of a lane's sequences that share one pass of a server, as measured: the others are at other servers.
	batchShare = 0.25
)

// weight is what a way is compared by where width counts.
func (p *partialLane) weight() float64 {
	return p.sequences * math.Pow(crossingWeight, float64(p.crossings))
}

// wider reports whether way a has memory for more sequences than b, or as much and is faster.
func wider(a, b *partialLane) bool {
	return a.weight() > b.weight()*widthTolerance || a.weight() > b.weight()/widthTolerance && a.cost < b.cost
}

// faster reports whether a token passes way a in less time than b.
func faster(a, b *partialLane) bool { return b.sequences == 0 || a.cost < b.cost }

// search returns the best way to each boundary over the nodes of a domain, or of all, that have memory for at least so many
// sequences.
func (s *laneSplitter) search(domain int, minSequences float64, better func(a, b *partialLane) bool) []partialLane {
	best := make([]partialLane, s.graph.engine.Layers+1)
	best[0] = partialLane{sequences: float64(s.graph.engine.BatchSize), node: -1}
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
			if lane := s.extend(&best[at], n, at); lane.sequences >= minSequences && lane.crossings <= maxCrossings && better(&lane, to) {
				*to = lane
			}
		}
	}
	return best
}

// extend returns the way that goes on extend node n from the boundary at, to the end of the node's range.
func (s *laneSplitter) extend(before *partialLane, n, at int) partialLane {
	node := &s.graph.nodes[n]
	layers := node.Layers.End - at
	lane := partialLane{node: n, from: at, crossings: before.crossings, cost: before.cost + hopDelay}
	lane.sequences = min(before.sequences, s.memoryLeft[n]/float64(layers*max(s.need.Tokens, 1)))
	step := StepTime(s.graph.engine, node.Kind, layers, batchShare*lane.sequences, float64(s.need.Tokens))
	lane.cost += time.Duration(float64(step) * (1 + meanStepWait) * max(s.pace[n], 1))
	if last := before.node; last >= 0 && s.graph.domain[last] != s.graph.domain[n] {
		lane.cost += s.graph.delay[s.graph.domain[last]][s.graph.domain[n]] + crossingPenalty
		lane.crossings++
	}
	return lane
}

// Narrowest returns the server of a path that has memory for the fewest sequences.
func Narrowest(g *Graph, hops []Hop) int {
	smallest, server := math.Inf(1), -1
	for _, h := range hops {
		n, ok := g.nodeOf[h.Server]
		if !ok {
			continue
		}
		node := &g.nodes[n]
		if room := Room(g.engine, node.Kind, node.Layers.Count()) / float64(h.Layers.Count()); room < smallest {
			smallest, server = room, h.Server
		}
	}
	return server
}
