package route

import (
	"sort"
	"time"
)

// maxLanes limits the number of lanes of one graph.
const maxLanes = 1024

// Lane is a path with its share of the speed of its servers: the tokens a second that it can carry while the other lanes are
// in use too.
type Lane struct {
	path []Node
	rate float64
}

// Path returns the servers of the lane.
func (l Lane) Path() []Node { return l.path }

// Rate returns the lane's share of the speed of its servers, in tokens a second.
func (l Lane) Rate() float64 { return l.rate }

// Cycle returns the time that one token takes through all servers with full batches, without time spent in queues.
func (l Lane) Cycle() time.Duration {
	total := time.Duration(0)
	for _, n := range l.path {
		total += n.Step
	}
	return total
}

// lanesOf divides the speed of the servers among paths, the path with the highest rate first, until no path is left.
//
// Sequences that use the same lane finish every step together and so fill the next server's batch together. Paths that are
// chosen server by server mix the sequences, which leaves batches half empty.
func lanesOf(layers int, nodes []Node) []Lane {
	sorted := append([]Node(nil), nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Layers.First != sorted[j].Layers.First {
			return sorted[i].Layers.First < sorted[j].Layers.First
		}
		return sorted[i].Server < sorted[j].Server
	})
	remaining := make([]float64, len(sorted))
	for i, n := range sorted {
		remaining[i] = n.Weight
	}
	var lanes []Lane
	for len(lanes) < maxLanes {
		lane, ok := widestLane(layers, sorted, remaining)
		if !ok {
			return lanes
		}
		lanes = append(lanes, lane)
	}
	return lanes
}

// widestLane finds the path with the highest remaining rate and subtracts the rate from its servers. It returns false when no
// path has any rate left.
func widestLane(layers int, nodes []Node, remaining []float64) (Lane, bool) {
	const minRate = 1e-6
	width := make([]float64, layers+1)
	// last holds the server that ends the widest path to each boundary, or -1.
	last := make([]int, layers+1)
	for i := range last {
		last[i] = -1
	}
	width[0] = remaining[0] + 1
	for i := range nodes {
		width[0] = max(width[0], remaining[i]+1)
	}
	for i, n := range nodes {
		if w := min(width[n.Layers.First], remaining[i]); w > minRate && w > width[n.Layers.End] {
			width[n.Layers.End] = w
			last[n.Layers.End] = i
		}
	}
	if last[layers] < 0 {
		return Lane{}, false
	}
	lane := Lane{rate: width[layers]}
	for at := layers; at > 0; {
		i := last[at]
		lane.path = append([]Node{nodes[i]}, lane.path...)
		remaining[i] -= lane.rate
		at = nodes[i].Layers.First
	}
	return lane, true
}
