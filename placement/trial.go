package placement

import (
	"math"
	"slices"
	"strconv"

	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/models"
)

// trial is a domain as fillEmpty would fill it for one number of sequences.
type trial struct {
	engine  *catalog.Engine
	servers []Server
	// room holds the room of each layer, layers the number of layers of all servers together.
	room   []float64
	layers int
	// first is the number of holders of the first layer.
	first int
}

// emptyDomain returns the servers of a domain that hold nothing; their ids are their indices.
func emptyDomain(counts kindCounts) []Server {
	var out []Server
	for _, c := range counts {
		for range c.servers {
			out = append(out, Server{ID: strconv.Itoa(len(out)), Kind: c.kind, Settled: true})
		}
	}
	return out
}

// try fills a domain whose servers hold nothing with the given number of sequences for each server.
func try(e *catalog.Engine, empty []Server, sequences int) trial {
	c := newCoverageMap(e, empty, map[string]Layout{"": {Sequences: sequences}})
	t := trial{engine: e, servers: slices.Clone(empty)}
	for _, o := range fillEmpty(c, empty) {
		i, _ := strconv.Atoi(o.ID)
		t.servers[i].Layers = o.Layers
		t.layers += o.Layers.Count()
		if o.Layers.First == 0 {
			t.first++
		}
	}
	t.room = c.ofDomain("")
	return t
}

// roomWithout returns the number of sequences that paths have memory for without a server. A nil server means that none is lost.
func (t *trial) roomWithout(lost *Server) float64 {
	own, first := 0.0, t.first
	var held models.Layers
	if lost != nil {
		own, held = max(sequencesOf(t.engine, lost.Kind, lost.Layers.Count()), 1), lost.Layers
		if held.Count() > 0 && held.First == 0 {
			first--
		}
	}
	lowest := math.Inf(1)
	for l, room := range t.room {
		if l >= held.First && l < held.End {
			room -= own
		}
		lowest = min(lowest, room)
	}
	if t.engine.BatchSize > 0 {
		lowest = min(lowest, float64(first*t.engine.BatchSize))
	}
	return max(lowest, 0)
}

// rateWithout returns the number of streams a second that are completed without a server when the remaining room is full and the
// streams are spread evenly over the holders of each layer; held is the number of layers that the servers of each kind hold
// together. A nil server means that none is lost.
func (t *trial) rateWithout(counts kindCounts, held []int, lost *Server) float64 {
	layers := t.layers
	if lost != nil {
		layers -= lost.Layers.Count()
	}
	room := t.roomWithout(lost)
	if layers == 0 || room < minRoom {
		return 0
	}
	e := t.engine
	sequences := wholeNumber(math.Ceil(room * float64(e.Layers) / float64(layers)))
	lifetime := 0.0
	for i, c := range counts {
		own := held[i]
		if lost != nil && lost.Kind == c.kind {
			own -= lost.Layers.Count()
		}
		answerTime := times(e.UsualAnswer, stepTime(e, c.kind, sequences)) + chain.ReadTime(e, c.kind, e.Layers, e.UsualPrompt)
		lifetime += answerTime.Seconds() * float64(own) / float64(layers)
	}
	if lifetime <= 0 {
		return 0
	}
	return room / lifetime
}

// layoutOf returns the layout of a domain whose servers have memory for the given number of sequences beside their layers; empty
// holds these servers without layers.
func layoutOf(e *catalog.Engine, counts kindCounts, empty []Server, sequences int) Layout {
	t := try(e, empty, sequences)
	l := Layout{Sequences: sequences, Copies: float64(t.layers) / float64(e.Layers), Room: wholeNumber(t.roomWithout(nil))}
	if !hasCosts(e) {
		return l
	}
	held := t.heldByKind(counts)
	l.Rate = t.rateWithout(counts, held, nil)
	l.AfterLoss = l.Rate
	for i := range t.servers {
		l.AfterLoss = min(l.AfterLoss, t.rateWithout(counts, held, &t.servers[i]))
	}
	return l
}

// heldByKind returns the number of layers that the servers of each kind hold together.
func (t *trial) heldByKind(counts kindCounts) []int {
	held := make([]int, len(counts))
	for i := range t.servers {
		for j, c := range counts {
			if t.servers[i].Kind == c.kind {
				held[j] += t.servers[i].Layers.Count()
			}
		}
	}
	return held
}
