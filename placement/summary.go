package placement

import (
	"sort"

	"junctioncross/catalog"
)

// Coverage describes how the layers of a model are covered by the servers of one failure domain.
type Coverage struct {
	Domain string
	// Missing is the number of layers without a holder.
	Missing int
	// Room is the number of sequences that the holders of a layer have memory for, at the layer where it is lowest.
	Room int
	// Servers is the number of servers of the domain, Empty that of the servers that hold no layers.
	Servers int
	Empty   int
	// Short is the number of layers of one whole copy that the servers have no memory for, with wantedSequences beside each
	// layer; ShortMB is the missing memory in megabytes.
	Short   int
	ShortMB int
}

// Summary returns the coverage of the whole fleet, with an empty domain name, followed by that of each domain, sorted by
// name.
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

// count fills in the fields that follow from the room of each layer and from Short.
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
