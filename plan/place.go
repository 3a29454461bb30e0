package plan

import (
	"fmt"
	"sort"

	"junctioncross/intent"
	"junctioncross/models"
)

// maxSegments limits the number of segments per model that searchCuts tries.
const maxSegments = 16

// Place returns a copy of the document in which backend servers without layers have been assigned some, where a model can use
// them, and descriptions of what was assigned and what was not.
//
// Within one failure domain a model is always cut at the same layers, so that any server of a segment can replace any other.
// Cuts and servers are chosen to make the slowest segment as fast as possible, now and after the loss of one server.
func Place(d *intent.Document) (*intent.Document, []string) {
	next := d.Clone()
	var effects []string
	weights := modelWeights(next)
	for _, domain := range domainsOf(next) {
		effects = append(effects, placeDomain(next, domain, weights)...)
	}
	return next, effects
}

// modelWeights returns the weight of each model: the sum over the groups that use it, where a group's weight is divided
// equally among its models.
func modelWeights(d *intent.Document) map[string]float64 {
	out := map[string]float64{}
	for _, g := range d.Groups {
		for _, m := range g.Models {
			out[m] += g.Weight / float64(len(g.Models))
		}
	}
	return out
}

func domainsOf(d *intent.Document) []string {
	seen := map[string]bool{}
	var out []string
	for _, b := range d.Backends {
		if !seen[b.Domain] {
			seen[b.Domain] = true
			out = append(out, b.Domain)
		}
	}
	sort.Strings(out)
	return out
}

// node is a backend server that layers can be assigned to.
type node struct {
	backend *intent.Backend
	// rate is the server's LayerRate.
	rate      float64
	maxLayers int
}

// freeNodes returns the servers of a domain that hold no layers and are not retiring, the fastest first.
func freeNodes(d *intent.Document, domain string) []node {
	var out []node
	for i := range d.Backends {
		b := &d.Backends[i]
		if b.Domain != domain || b.Retiring || b.Model != "" {
			continue
		}
		k := d.Kind(b.Kind)
		out = append(out, node{backend: b, rate: LayerRate(k), maxLayers: k.MaxLayers})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].rate != out[j].rate {
			return out[i].rate > out[j].rate
		}
		return out[i].backend.Name < out[j].backend.Name
	})
	return out
}

// placeDomain assigns the free servers of one domain to models, in rounds, until a round assigns none.
func placeDomain(d *intent.Document, domain string, weights map[string]float64) []string {
	var effects []string
	for {
		placed, skipped := placeRound(d, domain, weights)
		effects = append(effects, placed...)
		if len(placed) == 0 {
			return append(effects, skipped...)
		}
	}
}

// placeRound distributes the free servers among the models. Servers that a model cannot use are distributed again among the
// others. It returns descriptions of the placements made and of those that are not possible.
func placeRound(d *intent.Document, domain string, weights map[string]float64) (placed, skipped []string) {
	remaining := map[string]float64{}
	for m, w := range weights {
		remaining[m] = w
	}
	for len(remaining) > 0 {
		free := freeNodes(d, domain)
		if len(free) == 0 {
			return placed, nil
		}
		nodesOf := distributeNodes(d, domain, free, remaining)
		for i := range d.Models {
			m := &d.Models[i]
			nodes := nodesOf[m.Name]
			effects, ok := placeModel(d, domain, m, nodes)
			if ok {
				placed = append(placed, effects...)
				continue
			}
			delete(remaining, m.Name)
			skipped = append(skipped, effects...)
		}
	}
	return placed, skipped
}

// distributeNodes assigns each free server, in order, to the model whose servers in the domain have the lowest throughput
// relative to its weight.
func distributeNodes(d *intent.Document, domain string, free []node, weights map[string]float64) map[string][]node {
	rates := map[string]float64{}
	for i := range d.Backends {
		if b := &d.Backends[i]; b.Domain == domain && b.Model != "" && !b.Retiring {
			rates[b.Model] += LayerRate(d.Kind(b.Kind))
		}
	}
	out := map[string][]node{}
	for _, n := range free {
		best := ""
		lowest := 0.0
		for _, m := range d.Models {
			w := weights[m.Name]
			if w == 0 {
				continue
			}
			load := rates[m.Name] / (w * float64(m.Layers))
			if best == "" || load < lowest {
				best, lowest = m.Name, load
			}
		}
		if best != "" {
			rates[best] += n.rate
			out[best] = append(out[best], n)
		}
	}
	return out
}

// placeModel assigns layers of a model to servers and reports whether any server got some.
func placeModel(d *intent.Document, domain string, m *intent.Model, nodes []node) ([]string, bool) {
	if len(nodes) == 0 {
		return nil, false
	}
	if cuts := existingCuts(d, domain, m); cuts != nil {
		return fillCuts(d, domain, m, cuts, nodes)
	}
	best := searchCuts(m.Layers, nodes)
	if best == nil {
		return []string{fmt.Sprintf("will not place model %s in %s: %d free servers cannot hold %d layers",
			m.Name, domain, len(nodes), m.Layers)}, false
	}
	best.apply(m.Name)
	return []string{fmt.Sprintf("place model %s in %s on %d servers in %d segments, %.0f tokens a second",
		m.Name, domain, best.servers(), len(best.cuts), best.throughput())}, true
}

// existingCuts returns the segments into which the model is already cut in the domain, or nil if these do not cover each of
// its layers exactly once.
func existingCuts(d *intent.Document, domain string, m *intent.Model) []models.Layers {
	seen := map[models.Layers]bool{}
	for _, b := range d.Backends {
		if b.Domain == domain && b.Model == m.Name {
			seen[b.Layers] = true
		}
	}
	cuts := make([]models.Layers, 0, len(seen))
	for l := range seen {
		cuts = append(cuts, l)
	}
	sort.Slice(cuts, func(i, j int) bool { return cuts[i].First < cuts[j].First })
	if !models.Tile(cuts, m.Layers) {
		return nil
	}
	return cuts
}

// fillCuts assigns servers to the segments of a model that is already placed, the slowest segment first, and reports whether
// any server got a segment.
func fillCuts(d *intent.Document, domain string, m *intent.Model, cuts []models.Layers, nodes []node) ([]string, bool) {
	l := newLayout(cuts)
	for i := range d.Backends {
		b := &d.Backends[i]
		if b.Domain == domain && b.Model == m.Name && !b.Retiring {
			l.rates[l.indexOf(b.Layers)] += LayerRate(d.Kind(b.Kind)) / float64(b.Layers.Count())
		}
	}
	for _, n := range nodes {
		l.add(n)
	}
	l.apply(m.Name)
	var placed, skipped []string
	for _, n := range nodes {
		if n.backend.Model == "" {
			skipped = append(skipped, fmt.Sprintf("will not place backend server %s: too small for model %s", n.backend.Name, m.Name))
			continue
		}
		placed = append(placed, fmt.Sprintf("backend server %s loads %s layers %s", n.backend.Name, m.Name, n.backend.Layers))
	}
	if len(placed) == 0 {
		return skipped, false
	}
	return placed, true
}
