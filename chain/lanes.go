package chain

import (
	"math"
	"time"

	"junctioncross/models"
)

const (
	// mostLanes bounds the lanes of a graph.
	mostLanes = 64
	// narrowest is the number of sequences below which a lane is not worth having.
	narrowest = 4.0
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
	s := newSplit(g, usable, pace, need)
	var lanes []Lane
	for d := range g.domains {
		lanes = s.take(lanes, d)
	}
	return s.take(lanes, allDomains)
}

const allDomains = -1

// split is the state of the division of memory.
type split struct {
	graph *Graph
	need  Need
	// left is the memory of each node that no lane has, in tokens times layers.
	left []float64
	// pace is how many times slower than usual each node is.
	pace []float64
	// pipes holds what no lane has of the bandwidth between two domains, in bytes a second, by index.
	pipes map[[2]int]float64
}

func newSplit(g *Graph, usable func(server int) bool, pace func(server int) float64, need Need) *split {
	s := &split{
		graph: g, need: need, left: make([]float64, len(g.nodes)), pace: make([]float64, len(g.nodes)), pipes: map[[2]int]float64{},
	}
	for a := range g.domains {
		for b := a + 1; b < len(g.domains); b++ {
			s.pipes[[2]int{a, b}] = pipeBytes(g)
		}
	}
	for i, n := range g.nodes {
		if usable(n.Server) {
			s.pace[i] = pace(n.Server)
			s.left[i] = Room(g.engine, n.Kind, n.Layers.Count()) / s.pace[i]
		}
	}
	return s
}

const (
	// pipeShare is the part of the bandwidth between domains that lanes may plan with: prompts come in bursts, and a pipe
	// that is full holds up every sequence that crosses it, and with it the memory of all its servers.
	pipeShare = 0.4
	megabit   = 1e6 / 8
)

// pipeBytes returns the bytes a second that lanes may send between two domains.
func pipeBytes(g *Graph) float64 {
	if g.engine.PipeMbps == 0 {
		return math.Inf(1)
	}
	return pipeShare * g.engine.PipeMbps * megabit
}

// crossingBytes returns the bytes a second that one sequence sends over each crossing, on the mean over its life.
func (s *split) crossingBytes(step, read time.Duration) float64 {
	life := time.Duration(s.graph.engine.UsualAnswer)*step + read
	return s.graph.engine.ActivationBytes * float64(s.need.Tokens) / max(life, time.Millisecond).Seconds()
}

// take adds the lanes within one domain, or across all.
func (s *split) take(lanes []Lane, domain int) []Lane {
	for len(lanes) < mostLanes {
		lane, ok := s.next(domain)
		if !ok {
			return lanes
		}
		lanes = append(lanes, lane)
	}
	return lanes
}

// next returns one lane within a domain, or across all, and takes its memory.
func (s *split) next(domain int) (Lane, bool) {
	ways := s.search(domain, narrowest, wider)
	widest := ways[s.graph.engine.Layers].sequences
	if widest < narrowest {
		return Lane{}, false
	}
	if domain != allDomains {
		ways = s.search(domain, max(widthShare*widest, narrowest), faster)
	}
	return s.cut(ways, domain)
}

// cut takes the memory of the best lane off its servers.
func (s *split) cut(best []way, domain int) (Lane, bool) {
	end := s.graph.engine.Layers
	lane := Lane{Sequences: best[end].sequences}
	lane.Step = best[end].cost
	for at := end; at > 0; at = best[at].from {
		b := best[at]
		node := &s.graph.nodes[b.node]
		lane.Sequences = min(lane.Sequences, s.left[b.node]/float64((at-b.from)*max(s.need.Tokens, 1)))
		lane.Hops = append([]Hop{{Server: node.Server, Layers: models.Layers{First: b.from, End: at}}}, lane.Hops...)
		lane.Read += ReadTime(s.graph.engine, node.Kind, at-b.from, s.need.Prompt)
	}
	s.fitPipes(&lane)
	for at := end; at > 0; at = best[at].from {
		b := best[at]
		s.left[b.node] -= lane.Sequences * float64((at-b.from)*s.need.Tokens)
	}
	if domain != allDomains {
		lane.Domain = s.graph.domains[domain]
	}
	return lane, lane.Sequences >= narrowest
}

// fitPipes narrows a lane to the bandwidth that is left where it crosses, and takes that.
func (s *split) fitPipes(lane *Lane) {
	bytes := s.crossingBytes(lane.Step, lane.Read)
	times := map[[2]int]float64{}
	for i := 1; i < len(lane.Hops); i++ {
		a, b := s.domainOf(lane.Hops[i-1]), s.domainOf(lane.Hops[i])
		if a != b {
			lane.Crossings++
			times[[2]int{min(a, b), max(a, b)}]++
		}
	}
	for pipe, n := range times {
		lane.Sequences = min(lane.Sequences, s.pipes[pipe]/(bytes*n))
	}
	for pipe, n := range times {
		s.pipes[pipe] -= lane.Sequences * bytes * n
	}
}

func (s *split) domainOf(hop Hop) int { return s.graph.domainOfServer(hop.Server) }
