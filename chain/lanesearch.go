package chain

import (
	"math"
	"time"
)

// partialLane is the best known lane from the first layer to the boundary before a layer.
type partialLane struct {
	// sequences is the number of sequences that every server of the lane has memory for; 0 means that there is no lane.
	sequences float64
	// cost is the predicted time between two tokens, including crossingPenalty for each crossing.
	cost time.Duration
	// node is the last node of the lane, or -1 at its start; from is the boundary at which it is entered.
	node      int
	from      int
	crossings int
}

const (
	// crossingWeight multiplies the weight of a lane once for each crossing, so that a narrow lane with few crossings is preferred
	// to a wide one with many: all activations of a lane pass each of its crossings.
	crossingWeight = 0.5
	// maxCrossings limits the crossings of a lane.
	maxCrossings = 4
	// widthTolerance is the factor by which a lane must be wider to count as wider, so that rounding does not decide between a
	// fast and a slow lane.
	widthTolerance = 1.1
	// minWidthShare is the fraction of the widest lane's width that a lane chosen for its speed must have: many narrow lanes leave
	// memory over that fits into no further lane.
	minWidthShare = 0.5
	// batchShare is the measured fraction of a lane's sequences that are in one batch of a server; the others are at other servers
	// of the lane meanwhile.
	batchShare = 0.25
)

// weight returns the width of the lane, reduced for each crossing; wider compares lanes by it.
func (p *partialLane) weight() float64 {
	return p.sequences * crossingWeights[min(p.crossings, maxCrossings)]
}

// crossingWeights holds the powers of crossingWeight.
var crossingWeights = func() (out [maxCrossings + 1]float64) {
	for n := range out {
		out[n] = math.Pow(crossingWeight, float64(n))
	}
	return out
}()

// wider reports whether a has a greater weight than b, or about the same weight and a lower cost.
func wider(a, b *partialLane) bool {
	return a.weight() > b.weight()*widthTolerance || a.weight() > b.weight()/widthTolerance && a.cost < b.cost
}

// faster reports whether a token takes less time through a than through b, or b does not exist.
func faster(a, b *partialLane) bool { return b.sequences == 0 || a.cost < b.cost }

// search returns the best lane to each boundary over the nodes of a domain, or of all domains, that have memory for at least
// minSequences sequences.
func (s *laneSplitter) search(domain int, minSequences float64, better func(a, b *partialLane) bool) []partialLane {
	best := make([]partialLane, s.graph.engine.Layers+1)
	best[0] = partialLane{sequences: float64(s.graph.engine.BatchSize), node: -1}
	if best[0].sequences == 0 {
		best[0].sequences = math.MaxInt32
	}
	var lane partialLane
	for at := range s.graph.engine.Layers {
		if best[at].sequences == 0 {
			continue
		}
		for _, holder := range s.graph.holders[at] {
			n := int(holder)
			if domain != allDomains && s.graph.domain[n] != domain {
				continue
			}
			to := &best[s.graph.nodes[n].Layers.End]
			s.work++
			if s.width(&best[at], n, at) < minSequences {
				continue
			}
			lane = s.extend(&best[at], n, at)
			if lane.sequences >= minSequences && lane.crossings <= maxCrossings && better(&lane, to) {
				*to = lane
			}
		}
	}
	return best
}

// width returns the number of sequences that the lane before has memory for if node n runs the layers from at to the end of its range.
func (s *laneSplitter) width(before *partialLane, n, at int) float64 {
	layers := s.graph.nodes[n].Layers.End - at
	return min(before.sequences, s.memoryLeft[n]/(float64(layers)*float64(max(s.need.Tokens, 1))))
}

// extend returns the lane before with node n added to it; the node runs the layers from at to the end of its range.
func (s *laneSplitter) extend(before *partialLane, n, at int) partialLane {
	node := &s.graph.nodes[n]
	layers := node.Layers.End - at
	lane := partialLane{node: n, from: at, crossings: before.crossings, cost: before.cost + hopDelay}
	lane.sequences = s.width(before, n, at)
	step := StepTime(s.graph.engine, node.Kind, layers, batchShare*lane.sequences, float64(s.need.Tokens))
	lane.cost += duration(float64(step) * (1 + meanStepWait) * max(s.pace[n], 1))
	if last := before.node; last >= 0 && s.graph.domain[last] != s.graph.domain[n] {
		lane.cost += s.graph.delay[s.graph.domain[last]][s.graph.domain[n]] + crossingPenalty
		lane.crossings++
	}
	return lane
}

// Bottleneck returns the server of a path that has memory for the fewest sequences, or -1 if none of them is in the graph.
func Bottleneck(g *Graph, hops []Hop) int {
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
