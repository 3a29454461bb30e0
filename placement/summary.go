package placement

import (
	"sort"

	"junctioncross/catalog"
)

// Coverage tells how many holders the layers of a model have in one failure domain.
type Coverage struct {
	Domain string
	// Missing is the number of layers without a holder.
	Missing int
	// Room is the least number of sequences that the holders of a layer have memory for.
	Room int
	// Servers and Empty count the servers of the domain and those that hold nothing.
	Servers int
	Empty   int
	// Short is the number of layers of one whole copy for which the servers have no memory with the usual room for sequences beside, and
	// ShortMB that memory.
	Short   int
	ShortMB int
}

// Summary returns the coverage of each domain, by name, and that of the whole fleet under an empty name first.
func Summary(e *catalog.Engine, servers []Server) []Coverage {
	c := newCoverageMap(e, servers)
	all := Coverage{Short: e.Layers}
	byDomain := map[string]*Coverage{}
	for i := range servers {
		s := &servers[i]
		d := byDomain[s.Domain]
		if d == nil {
			d = &Coverage{Domain: s.Domain, Short: e.Layers}
			byDomain[s.Domain] = d
		}
		for _, one := range []*Coverage{d, &all} {
			one.Servers++
			if s.Layers.Count() == 0 {
				one.Empty++
			}
			if s.Kind != nil {
				one.Short = max(one.Short-LayersOf(e, s.Kind, wantedSequences), 0)
			}
		}
	}
	all.count(e, c.all)
	out := []Coverage{all}
	for name, d := range byDomain {
		d.count(e, c.ofDomain(name))
		out = append(out, *d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Domain < out[j].Domain })
	return out
}

func (c *Coverage) count(e *catalog.Engine, room []float64) {
	c.ShortMB = int(float64(c.Short) * layerMB(e, wantedSequences))
	lowest := room[0]
	for _, r := range room {
		lowest = min(lowest, r)
		if r < minRoom {
			c.Missing++
		}
	}
	c.Room = int(max(lowest, 0))
}
