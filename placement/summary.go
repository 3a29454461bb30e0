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
}

// Summary returns the coverage of each domain, by name, and that of the whole fleet under an empty name first.
func Summary(e *catalog.Engine, servers []Server) []Coverage {
	c := newCover(e, servers)
	all := Coverage{}
	byDomain := map[string]*Coverage{}
	for i := range servers {
		s := &servers[i]
		d := byDomain[s.Domain]
		if d == nil {
			d = &Coverage{Domain: s.Domain}
			byDomain[s.Domain] = d
		}
		for _, one := range []*Coverage{d, &all} {
			one.Servers++
			if s.Layers.Count() == 0 {
				one.Empty++
			}
		}
	}
	all.count(c.all)
	out := []Coverage{all}
	for name, d := range byDomain {
		d.count(c.in(name))
		out = append(out, *d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Domain < out[j].Domain })
	return out
}

func (c *Coverage) count(room []float64) {
	lowest := room[0]
	for _, r := range room {
		lowest = min(lowest, r)
		if r < least {
			c.Missing++
		}
	}
	c.Room = int(max(lowest, 0))
}
