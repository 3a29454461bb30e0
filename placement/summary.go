package placement

import (
	"math"
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
	// Short is the number of layers of one whole copy that the servers have no memory for, with the wanted room beside each
	// layer; ShortMB is the missing memory in megabytes.
	Short   int
	ShortMB int
	// Wanted is the number of sequences that each server of the domain should have memory for; 0 for the whole fleet.
	Wanted int
	// Copies is the number of copies of the model that the servers should hold together.
	Copies float64
	// Rate is the number of streams a second that are expected to be completed when the planned room is full.
	// RateAfterLoss is the same after the loss of the server, or of the domain of the fleet, whose loss costs most.
	Rate          float64
	RateAfterLoss float64
}

// Summary returns the coverage of the whole fleet, with an empty domain name, followed by that of each domain, sorted by
// name.
func (p *Planner) Summary(f Fleet) []Coverage {
	e, servers := f.engine, f.servers
	c := newCoverageMap(e, servers, p.Layouts(f))
	all := Coverage{Short: e.Layers}
	plannedFleet(&all, c.layouts)
	byDomain := map[string]*Coverage{}
	for i := range servers {
		s := &servers[i]
		d := byDomain[s.Domain]
		if d == nil {
			d = plannedDomain(e, s.Domain, c.layout(s.Domain))
			byDomain[s.Domain] = d
		}
		for _, one := range []*Coverage{d, &all} {
			one.Servers++
			if s.Layers.Count() == 0 {
				one.Empty++
			}
			if s.Kind != nil {
				one.Short = max(one.Short-LayersOf(e, s.Kind, c.layout(s.Domain).Sequences), 0)
			}
		}
	}
	all.count(e, c.all, wantedSequences)
	out := []Coverage{all}
	for name, d := range byDomain {
		d.count(e, c.ofDomain(name), d.Wanted)
		out = append(out, *d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Domain < out[j].Domain })
	return out
}

// plannedDomain returns the coverage of a domain with what its layout says.
func plannedDomain(e *catalog.Engine, domain string, l Layout) *Coverage {
	return &Coverage{
		Domain: domain, Short: e.Layers, Wanted: l.Sequences, Copies: l.Copies, Rate: l.Rate, RateAfterLoss: l.AfterLoss,
	}
}

// plannedFleet adds up the layouts of the domains.
func plannedFleet(all *Coverage, layouts map[string]Layout) {
	domains := make([]string, 0, len(layouts))
	for domain := range layouts {
		domains = append(domains, domain)
	}
	sort.Strings(domains)
	highestRate := 0.0
	for _, domain := range domains {
		l := layouts[domain]
		all.Copies += l.Copies
		all.Rate += l.Rate
		highestRate = max(highestRate, l.Rate)
	}
	all.RateAfterLoss = all.Rate - highestRate
}

// count fills in the fields that follow from the room of each layer and from Short.
func (c *Coverage) count(e *catalog.Engine, room []float64, wanted int) {
	c.ShortMB = whole(float64(c.Short)*layerMB(e, wanted), math.MaxInt)
	lowest := room[0]
	for _, r := range room {
		lowest = min(lowest, r)
		if r < minRoom {
			c.Missing++
		}
	}
	c.Room = wholeNumber(lowest)
}
