package chain

import (
	"math"
	"time"

	"junctioncross/models"
)

const (
	// maxLanes limits the number of lanes of a graph.
	maxLanes = 64
	// minLaneSequences is the number of sequences below which a lane is not worth using.
	minLaneSequences = 4.0
	// maxLaneWork is the number of servers that searches look at, once for each layer, after which each domain is given one lane at most.
	maxLaneWork = 20_000_000
)

// Lane is a path with a share of the memory of its servers; the shares of all lanes of a graph fit into that memory at once.
type Lane struct {
	Path
	// Sequences is the width of the lane: the number of sequences that its share of the memory holds.
	Sequences float64
	// Domain is the failure domain of all its servers, or empty if the lane crosses between domains.
	Domain string
	// Crossings is the number of hops from one domain to another.
	Crossings int
}

// Lanes splits the memory of the usable servers into lanes. First come lanes within one domain, as many as its memory allows:
// each is the fastest of those that are not much narrower than the widest. Then come lanes across domains from the memory that
// is left, the widest first. The need gives the tokens of a usual request.
//
// Pace returns how many times slower than usual a server is; its share of the work is divided by that number.
//
// Instances that choose lanes at random, weighted by their width, spread the load evenly without exchanging messages.
func Lanes(g *Graph, usable func(server int) bool, pace func(server int) float64, need Need) []Lane {
	s := newLaneSplitter(g, usable, pace, need)
	var lanes []Lane
	for d := range g.domains {
		lanes = s.addLanes(lanes, d)
	}
	return s.addLanes(lanes, allDomains)
}

// allDomains stands for the index of a domain where lanes may use the servers of every domain.
const allDomains = -1

// laneSplitter holds the memory and the bandwidth that no lane has been given yet.
type laneSplitter struct {
	graph *Graph
	need  Need
	// memoryLeft is the memory of each node that is left for further lanes, in tokens times layers.
	memoryLeft []float64
	// pace is how many times slower than usual each node is.
	pace []float64
	// bandwidthLeft is the bandwidth between two domains that is left for further lanes, in bytes a second, by the indices of
	// the domains, the lower one first.
	bandwidthLeft map[[2]int]float64
	// work is the number of servers that searches have looked at.
	work int
}

func newLaneSplitter(g *Graph, usable func(server int) bool, pace func(server int) float64, need Need) *laneSplitter {
	s := &laneSplitter{
		graph: g, need: need, memoryLeft: make([]float64, len(g.nodes)), pace: make([]float64, len(g.nodes)),
		bandwidthLeft: map[[2]int]float64{},
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
	// bandwidthShare is the fraction of the bandwidth between domains that is divided among lanes. Prompts come in bursts, and a
	// saturated link delays every sequence that crosses it, which then occupies the memory of all servers of its path for longer.
	bandwidthShare = 0.4
	// megabit is one million bits in bytes.
	megabit = 1e6 / 8
)

// usableBandwidth returns the bytes a second that all lanes together may send between two domains.
func usableBandwidth(g *Graph) float64 {
	if g.engine.LinkMbps == 0 {
		return math.Inf(1)
	}
	return bandwidthShare * g.engine.LinkMbps * megabit
}

// crossingRate returns the bytes a second that one sequence sends over each crossing, as the mean over its lifetime.
func (s *laneSplitter) crossingRate(step, read time.Duration) float64 {
	lifetime := duration(float64(s.graph.engine.UsualAnswer)*float64(step) + float64(read))
	return s.graph.engine.ActivationBytes * float64(max(s.need.Tokens, 0)) / max(lifetime, time.Millisecond).Seconds()
}

// addLanes appends the lanes within one domain, or across all domains.
func (s *laneSplitter) addLanes(lanes []Lane, domain int) []Lane {
	for first := true; len(lanes) < maxLanes && (first || s.work < maxLaneWork); first = false {
		lane, ok := s.nextLane(domain)
		if !ok {
			return lanes
		}
		lanes = append(lanes, lane)
	}
	return lanes
}

// nextLane returns one more lane within a domain, or across all domains, and allocates its memory; false means that no memory
// for another lane is left.
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

// allocate builds the lane that best, the result of search, leads to and subtracts its share from the memory of its servers.
func (s *laneSplitter) allocate(best []partialLane, domain int) (Lane, bool) {
	end := s.graph.engine.Layers
	lane := Lane{Sequences: best[end].sequences}
	lane.Step = best[end].cost
	for at := end; at > 0; at = best[at].from {
		b := best[at]
		node := &s.graph.nodes[b.node]
		lane.Sequences = min(lane.Sequences, s.memoryLeft[b.node]/(float64(at-b.from)*float64(max(s.need.Tokens, 1))))
		lane.Hops = append([]Hop{{Server: node.Server, Layers: models.Layers{First: b.from, End: at}}}, lane.Hops...)
		lane.Read += ReadTime(s.graph.engine, node.Kind, at-b.from, s.need.Prompt)
	}
	s.fitBandwidth(&lane)
	for at := end; at > 0; at = best[at].from {
		b := best[at]
		s.memoryLeft[b.node] -= lane.Sequences * (float64(at-b.from) * float64(max(s.need.Tokens, 0)))
	}
	if domain != allDomains {
		lane.Domain = s.graph.domains[domain]
	}
	return lane, lane.Sequences >= minLaneSequences
}

// fitBandwidth narrows a lane to the bandwidth that is left on the links that it crosses and subtracts what it uses.
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
