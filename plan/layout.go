package plan

import (
	"junctioncross/models"
)

// layout is a division of one model into segments, with the servers that hold each segment.
type layout struct {
	cuts  []models.Layers
	nodes [][]node
	// rates holds the throughput of each segment in tokens a second.
	rates []float64
}

func newLayout(cuts []models.Layers) *layout {
	return &layout{cuts: cuts, nodes: make([][]node, len(cuts)), rates: make([]float64, len(cuts))}
}

func (l *layout) indexOf(r models.Layers) int {
	for i, c := range l.cuts {
		if c == r {
			return i
		}
	}
	return 0
}

// add assigns a server to the slowest segment that it can hold and reports whether there is one.
func (l *layout) add(n node) bool {
	best := -1
	for i, c := range l.cuts {
		if c.Count() <= n.maxLayers && (best < 0 || l.rates[i] < l.rates[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	l.nodes[best] = append(l.nodes[best], n)
	l.rates[best] += n.rate / float64(l.cuts[best].Count())
	return true
}

// throughput returns the throughput of the slowest segment, in tokens a second.
func (l *layout) throughput() float64 {
	lowest := l.rates[0]
	for _, r := range l.rates {
		lowest = min(lowest, r)
	}
	return lowest
}

// throughputAfterLoss returns the throughput, in tokens a second, after the loss of the single server that matters most.
func (l *layout) throughputAfterLoss() float64 {
	lowest := l.throughput()
	for i, nodes := range l.nodes {
		for _, n := range nodes {
			lowest = min(lowest, l.rates[i]-n.rate/float64(l.cuts[i].Count()))
		}
	}
	return max(lowest, 0)
}

// score is the sum of the throughput now and the throughput after the loss of one server, so that no segment depends on a
// single server where there are enough of them.
func (l *layout) score() float64 { return l.throughput() + l.throughputAfterLoss() }

// servers returns the number of servers that a segment was assigned to.
func (l *layout) servers() int {
	total := 0
	for _, nodes := range l.nodes {
		total += len(nodes)
	}
	return total
}

// apply writes the layout into the backend servers of the document.
func (l *layout) apply(model string) {
	for i, nodes := range l.nodes {
		for _, n := range nodes {
			n.backend.Model = model
			n.backend.Layers = l.cuts[i]
		}
	}
}

// searchCuts tries each number of equal segments, improves each result by shifting single boundaries, and returns the layout
// with the highest score. It returns nil if the servers cannot hold the model.
func searchCuts(layers int, nodes []node) *layout {
	var best *layout
	for s := 1; s <= min(maxSegments, layers, len(nodes)); s++ {
		l := improve(fill(equalCuts(layers, s), nodes), nodes)
		if l.throughput() > 0 && (best == nil || l.score() > best.score()) {
			best = l
		}
	}
	return best
}

func equalCuts(layers, segments int) []models.Layers {
	cuts := make([]models.Layers, segments)
	for i := range cuts {
		cuts[i] = models.Layers{First: layers * i / segments, End: layers * (i + 1) / segments}
	}
	return cuts
}

// fill returns the layout in which each server is assigned to the slowest segment that it can hold, in the order of nodes.
func fill(cuts []models.Layers, nodes []node) *layout {
	l := newLayout(cuts)
	for _, n := range nodes {
		l.add(n)
	}
	return l
}

// improve shifts one boundary by one layer at a time for as long as the score grows.
func improve(l *layout, nodes []node) *layout {
	for {
		better := bestShift(l, nodes)
		if better == nil {
			return l
		}
		l = better
	}
}

// bestShift returns the best layout that differs by one boundary shifted by one layer, or nil if none has a higher score.
func bestShift(l *layout, nodes []node) *layout {
	var best *layout
	bestScore := l.score()
	for i := 0; i+1 < len(l.cuts); i++ {
		for _, step := range []int{-1, 1} {
			cuts := shifted(l.cuts, i, step)
			if cuts == nil {
				continue
			}
			if next := fill(cuts, nodes); next.score() > bestScore {
				best, bestScore = next, next.score()
			}
		}
	}
	return best
}

// shifted returns the cuts with the boundary after segment i moved by step layers, or nil if a segment would be empty.
func shifted(cuts []models.Layers, i, step int) []models.Layers {
	out := append([]models.Layers(nil), cuts...)
	out[i].End += step
	out[i+1].First += step
	if out[i].Count() < 1 || out[i+1].Count() < 1 {
		return nil
	}
	return out
}
