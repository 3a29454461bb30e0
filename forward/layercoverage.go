package forward

import (
	"time"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/loadview"
	"junctioncross/models"
)

// coverageOf returns how the servers of a domain cover the layers of a service's model by their entries. Servers that leave do
// not count.
func coverageOf(group *backend.Group, domain string, now time.Time) loadview.Coverage {
	engine := group.Graph().Engine()
	room, held := make([]float64, engine.Layers), make([]bool, engine.Layers)
	out := loadview.Coverage{WithoutHolder: []models.Layers{}}
	for _, s := range group.Servers() {
		if s.Domain() != domain || s.Leaving() {
			continue
		}
		out.Servers++
		if s.Usable(now) {
			out.Usable++
		}
		sequences, layers := sequencesOf(engine, s), s.Layers()
		for l := max(layers.First, 0); l < min(layers.End, engine.Layers); l++ {
			held[l] = true
			room[l] += sequences
		}
	}
	for l := range room {
		if l == 0 || room[l] < out.Room {
			out.Room = room[l]
		}
		if !held[l] {
			out.LayersWithoutHolder++
			out.WithoutHolder = withLayer(out.WithoutHolder, l)
		}
	}
	return out
}

// withLayer adds a layer to ranges of lower layers; beyond loadview.MaxGaps ranges it is left out.
func withLayer(ranges []models.Layers, layer int) []models.Layers {
	if n := len(ranges); n > 0 && ranges[n-1].End == layer {
		ranges[n-1].End++
		return ranges
	}
	if len(ranges) >= loadview.MaxGaps {
		return ranges
	}
	return append(ranges, models.Layers{First: layer, End: layer + 1})
}

// sequencesOf returns for how many sequences of usual length a server has memory beside its layers.
func sequencesOf(engine *catalog.Engine, s *backend.Server) float64 {
	kind, layers, tokens := engine.Kind(s.Kind()), s.Layers().Count(), engine.UsualPrompt+engine.UsualAnswer
	if kind == nil || layers < 1 || tokens < 1 {
		return 0
	}
	return chain.Room(engine, kind, layers) / float64(layers*tokens)
}
