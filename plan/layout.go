package plan

import (
	"junctioncross/models"
)

// layout is a way to cut one model and to give its segments to servers.
type layout struct {
	cuts  []models.Layers
	nodes [][]node
	// rates holds the tokens a second of each segment.
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

// add gives a server to the slowest segment that it can hold and reports whether there is one.
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

// throughput returns the tokens a second of the slowest segment.
func (l *layout) throughput() float64 {
	lowest := l.rates[0]
	for _, r := range l.rates {
		lowest = min(lowest, r)
	}
	return lowest
}

// throughputAfterLoss returns the tokens a second that are left when the worst single server is lost.
func (l *layout) throughputAfterLoss() float64 {
	lowest := l.throughput()
	for i, nodes := range l.nodes {
		for _, n := range nodes {
			lowest = min(lowest, l.rates[i]-n.rate/float64(l.cuts[i].Count()))
		}
	}
	return max(lowest, 0)
}

// score weighs the throughput of today against that after a fault, so that a segment does not hang on one server where
// there are enough of them.
func (l *layout) score() float64 { return l.throughput() + l.throughputAfterLoss() }

// servers returns the number of servers that have a segment.
func (l *layout) servers() int {
	total := 0
	for _, nodes := range l.nodes {
		total += len(nodes)
	}
	return total
}

func (l *layout) apply(model string) {
	for i, nodes := range l.nodes {
		for _, n := range nodes {
			n.backend.Model = model
			n.backend.Layers = l.cuts[i]
		}
	}
}

// searchCuts tries every number of equal segments, then shifts single boundaries while that helps; nil means that the
// servers cannot hold the model.
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

func fill(cuts []models.Layers, nodes []node) *layout {
	l := newLayout(cuts)
	for _, n := range nodes {
		l.add(n)
	}
	return l
}

// improve moves one boundary by one layer at a time as long as the score gains.
func improve(l *layout, nodes []node) *layout {
	for {
		better := bestShift(l, nodes)
		if better == nil {
			return l
		}
		l = better
	}
}

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

// shifted moves the boundary behind segment i by step layers; nil means that a segment would be empty.
func shifted(cuts []models.Layers, i, step int) []models.Layers {
	out := append([]models.Layers(nil), cuts...)
	out[i].End += step
	out[i+1].First += step
	if out[i].Count() < 1 || out[i+1].Count() < 1 {
		return nil
	}
	return out
}
