package chain

import (
	"math"
	"time"

	"junctioncross/models"
)

const (
	// maxLanes bounds the lanes of a graph.
	maxLanes = 64
	// minLaneSequences is the number of sequences below which a lane is not worth having.
	minLaneSequences = 4.0
)

// Lane is a path with the number of sequences that it has memory for beside the other lanes.
type Lane struct {
	Path
	// Sequences is the lane's part of the memory of its servers.
	Sequences float64
	// Domain is the failure domain of all its servers, or empty when it crosses.
	Domain string
	// Crossings is the number of times that it passes from one domain to another.
	Crossings int
}

// Lanes splits the memory of the usable servers into paths: within each domain as far as that goes, the fastest first of those
// that are not much narrower than the widest, then across domains from what is left, the widest first. Need tells the tokens of
// a usual request.
//
// Pace tells how many times slower than usual a server is: it gets that many times less.
//
// Instances that do not talk to each other spread their work evenly when each draws lanes by their width.
func Lanes(g *Graph, usable func(server int) bool, pace func(server int) float64, need Need) []Lane {
	s := newLaneSplitter(g, usable, pace, need)
	var lanes []Lane
	for d := range g.domains {
		lanes = s.addLanes(lanes, d)
	}
	return s.addLanes(lanes, allDomains)
}

const allDomains = -1

// laneSplitter is the state of the division of memory.
type laneSplitter struct {
	graph *Graph
	need  Need
	// memoryLeft is the memory of each node that no lane has, in tokens times layers.
	memoryLeft []float64
	// pace is how many times slower than usual each node is.
	pace []float64
	// bandwidthLeft holds what no lane has of the bandwidth between two domains, in bytes a second, by index.
	bandwidthLeft map[[2]int]float64
}

func newLaneSplitter(g *Graph, usable func(server int) bool, pace func(server int) float64, need Need) *laneSplitter {
	s := &laneSplitter{
		graph: g, need: need, memoryLeft: make([]float64, len(g.nodes)), pace: make([]float64, len(g.nodes)), bandwidthLeft: map[[2]int]float64{},
	}
	for a := range g.domains {
		for b := a + 1; b < len(g.domains); b++ {
			s.bandwidthLeft[[2]int{a, b}] = usableBandwidth(g)
		}
	}
	for i, n := range g.nodes {
		if usable(n.Server) {
			s.pace[i] = pace(n.Server)
			s.memoryLeft[i] = Room(g.engine, n.Kind, n.Layers.Count()) / s.pace[i]
		}
	}
	return s
}

const (
	// bandwidthShare is the part of the bandwidth between domains that lanes may plan with: prompts come in bursts, and a pipe
	// that is full holds up every sequence that crosses it, and with it the memory of all its servers.
	bandwidthShare = 0.4
	megabit        = 1e6 / 8
)

// usableBandwidth returns the bytes a second that lanes may send between two domains.
func usableBandwidth(g *Graph) float64 {
	if g.engine.PipeMbps == 0 {
		return math.Inf(1)
	}
	return bandwidthShare * g.engine.PipeMbps * megabit
}

// crossingRate returns the bytes a second that one sequence sends over each crossing, on the mean over its life.
func (s *laneSplitter) crossingRate(step, read time.Duration) float64 {
	lifetime := time.Duration(s.graph.engine.UsualAnswer)*step + read
	return s.graph.engine.ActivationBytes * float64(s.need.Tokens) / max(lifetime, time.Millisecond).Seconds()
}

// addLanes adds the lanes within one domain, or across all.
func (s *laneSplitter) addLanes(lanes []Lane, domain int) []Lane {
	for len(lanes) < maxLanes {
		lane, ok := s.nextLane(domain)
		if !ok {
			return lanes
		}
		lanes = append(lanes, lane)
	}
	return lanes
}

// nextLane returns one lane within a domain, or across all, and takes its memory.
func (s *laneSplitter) nextLane(domain int) (Lane, bool) {
	partials := s.search(domain, minLaneSequences, wider)
	widest := partials[s.graph.engine.Layers].sequences
	if widest < minLaneSequences {
		return Lane{}, false
	}
	if domain != allDomains {
		partials = s.search(domain, max(minWidthShare*widest, minLaneSequences), faster)
	}
	return s.allocate(partials, domain)
}

// allocate takes the memory of the best lane off its servers.
func (s *laneSplitter) allocate(best []partialLane, domain int) (Lane, bool) {
	end := s.graph.engine.Layers
	lane := Lane{Sequences: best[end].sequences}
	lane.Step = best[end].cost
	for at := end; at > 0; at = best[at].from {
		b := best[at]
		node := &s.graph.nodes[b.node]
		lane.Sequences = min(lane.Sequences, s.memoryLeft[b.node]/float64((at-b.from)*max(s.need.Tokens, 1)))
		lane.Hops = append([]Hop{{Server: node.Server, Layers: models.Layers{First: b.from, End: at}}}, lane.Hops...)
		lane.Read += ReadTime(s.graph.engine, node.Kind, at-b.from, s.need.Prompt)
	}
	s.fitBandwidth(&lane)
	for at := end; at > 0; at = best[at].from {
		b := best[at]
		s.memoryLeft[b.node] -= lane.Sequences * float64((at-b.from)*s.need.Tokens)
	}
	if domain != allDomains {
		lane.Domain = s.graph.domains[domain]
	}
	return lane, lane.Sequences >= minLaneSequences
}

// fitBandwidth narrows a lane to the bandwidth that is left where it crosses, and takes that.
func (s *laneSplitter) fitBandwidth(lane *Lane) {
	rate := s.crossingRate(lane.Step, lane.Read)
	crossings := map[[2]int]float64{}
	for i := 1; i < len(lane.Hops); i++ {
		a, b := s.domainOf(lane.Hops[i-1]), s.domainOf(lane.Hops[i])
		if a != b {
			lane.Crossings++
			crossings[[2]int{min(a, b), max(a, b)}]++
		}
	}
	for pair, n := range crossings {
		lane.Sequences = min(lane.Sequences, s.bandwidthLeft[pair]/(rate*n))
	}
	for pair, n := range crossings {
		s.bandwidthLeft[pair] -= lane.Sequences * rate * n
	}
}

func (s *laneSplitter) domainOf(hop Hop) int { return s.graph.domainOfServer(hop.Server) }
