package placement

import (
	"sort"

	"junctioncross/catalog"
)

const (
	// minPlannedCopies is the number of copies of the weights that the memory of a domain must be able to hold for its layout
	// to be planned. In smaller domains another copy is worth more than room.
	minPlannedCopies = 3.0
	// spareCopies is the part of a copy that the servers of a domain must hold beside a whole copy after the loss of the one that
	// holds most layers.
	spareCopies = 0.1
	// rateAccuracy is the accuracy of predicted rates: rates that differ by no more than this fraction count as equal.
	rateAccuracy = 0.05
	// maxSequences is the highest number of sequences that is planned for an engine without a batch size.
	maxSequences = 256
	// maxCandidates is the maximum number of layouts that are compared for a domain.
	maxCandidates = 48
	// maxPlanWork bounds the layouts of a large domain of a long model that are compared, in layouts times servers times layers, but at least
	// minCandidates are.
	maxPlanWork   = 12_000_000
	minCandidates = 6
)

// Layout is the plan of a domain: how much room its servers should leave beside their layers, and what to expect of that.
type Layout struct {
	// Sequences is the number of usual sequences that each server should have memory for.
	Sequences int
	// Copies is the number of copies of the model that the servers then hold together.
	Copies float64
	// Room is the number of sequences that the servers have memory for, at the layer where it is lowest.
	Room int
	// Rate is the number of streams a second that are expected to be completed when the room is full, AfterLoss the same after
	// the loss of the server whose loss costs most. Both are zero if the engine's costs are not known.
	Rate, AfterLoss float64
	// Default is true if the domain has wantedSequences because it is not planned or no planned layout is eligible.
	Default bool
}

// defaultLayout is the layout of a domain for which none is known.
func defaultLayout() Layout { return Layout{Sequences: wantedSequences, Default: true} }

// standby returns the number of sequences that a standby server should have memory for.
func (l Layout) standby() int { return l.Sequences * standbySequences / wantedSequences }

// retiled returns the number of sequences that the servers must still have memory for after the domain is retiled.
func (l Layout) retiled() int { return l.Sequences * minRetiledSequences / wantedSequences }

// planDomain returns the layout of a domain with the given servers. Among the layouts that are expected to complete about as
// many streams as the best one, it takes that with the most room, which absorbs bursts and long answers.
func planDomain(e *catalog.Engine, counts kindCounts) Layout {
	empty := emptyDomain(counts)
	usual := layoutOf(e, counts, empty, wantedSequences)
	usual.Default = true
	if !hasCosts(e) || counts.copiesOfWeights(e) < minPlannedCopies {
		return usual
	}
	return mostRoom(usual, eligibleLayouts(e, counts, empty, usual))
}

// eligibleLayouts returns the candidates that survive the loss of a server and do not lose to the usual layout.
func eligibleLayouts(e *catalog.Engine, counts kindCounts, empty []Server, usual Layout) []Layout {
	var eligible []Layout
	for _, n := range candidates(e, counts) {
		l := layoutOf(e, counts, empty, n)
		if l.losesTo(usual) || !survivesLoss(e, counts, n) {
			continue
		}
		eligible = append(eligible, l)
	}
	return eligible
}

// mostRoom returns the layout with the most room among the eligible ones whose value is about the highest; without any it is the usual
// one.
func mostRoom(usual Layout, eligible []Layout) Layout {
	highest := 0.0
	for _, l := range eligible {
		highest = max(highest, l.value())
	}
	best := usual
	for _, l := range eligible {
		if l.value() >= (1-rateAccuracy)*highest && (best.Default || l.betterThan(best)) {
			best = l
		}
	}
	return best
}

// value is what layouts of one domain are compared by: the rates with all servers and after a loss count alike.
func (l Layout) value() float64 { return l.Rate + l.AfterLoss }

// losesTo reports whether the layout is expected to complete fewer streams than another one: markedly fewer with all servers, or
// fewer after a loss.
func (l Layout) losesTo(other Layout) bool {
	return l.Rate < (1-rateAccuracy)*other.Rate || l.AfterLoss < other.AfterLoss
}

// betterThan compares two layouts with about the same value.
func (l Layout) betterThan(other Layout) bool {
	if l.Room != other.Room {
		return l.Room > other.Room
	}
	return l.value() > other.value()
}

// hasCosts reports whether the engine's cost model is complete enough to compare numbers of sequences.
func hasCosts(e *catalog.Engine) bool {
	return e.Step > 0 && e.StepPerSequence+e.StepPerContext > 0 && e.ReadPerSecond > 0 && e.UsualPrompt > 0 &&
		e.UsualAnswer > 0 && e.TokenBytes > 0
}

// survivesLoss reports whether the domain holds a whole copy and spareCopies more after the loss of the server that holds most
// layers.
func survivesLoss(e *catalog.Engine, counts kindCounts, sequences int) bool {
	total, largest := 0, 0
	for _, c := range counts {
		n := LayersOf(e, c.kind, sequences)
		total += n * c.servers
		largest = max(largest, n)
	}
	return float64(total-largest) >= (1+spareCopies)*float64(e.Layers)
}

// candidates returns the numbers of sequences to compare, in ascending order: those beyond which some kind holds a layer less,
// so that no other number between them gives more room for the same layers.
func candidates(e *catalog.Engine, counts kindCounts) []int {
	highest := maxSequences
	if e.BatchSize > 0 {
		highest = max(e.BatchSize, standbySequences)
	}
	found := map[int]bool{wantedSequences: true}
	for _, c := range counts {
		for layers := 1; layers <= e.Layers; layers++ {
			n := whole(sequencesOf(e, c.kind, layers), highest)
			if n < standbySequences {
				break
			}
			found[n] = true
		}
	}
	all := make([]int, 0, len(found))
	for n := range found {
		all = append(all, n)
	}
	sort.Ints(all)
	return thinned(all, min(max(maxPlanWork/(counts.servers()*e.Layers), minCandidates), maxCandidates))
}

// thinned returns at most the given number of the numbers, evenly spaced, the highest one included.
func thinned(all []int, most int) []int {
	if len(all) <= most {
		return all
	}
	out := make([]int, most)
	for i := range out {
		out[i] = all[(i+1)*len(all)/most-1]
	}
	return out
}
