package placement

import (
	"sort"

	"junctioncross/catalog"
)

// kindCount is the number of servers of one kind.
type kindCount struct {
	kind    *catalog.Kind
	servers int
}

// kindCounts holds the servers of a domain by kind.
type kindCounts []kindCount

// add counts one more server of a kind.
func (c kindCounts) add(k *catalog.Kind) kindCounts {
	for i := range c {
		if c[i].kind == k || c[i].kind.Name == k.Name {
			c[i].servers++
			return c
		}
	}
	return append(c, kindCount{kind: k, servers: 1})
}

// servers returns the number of servers, at least one.
func (c kindCounts) servers() int {
	total := 0
	for _, k := range c {
		total += k.servers
	}
	return max(total, 1)
}

// sort orders the kinds by name, so that the same servers give the same sums.
func (c kindCounts) sort() {
	sort.Slice(c, func(i, j int) bool { return c[i].kind.Name < c[j].kind.Name })
}

// copiesOfWeights returns how many copies of the weights fit in the memory of the servers.
func (c kindCounts) copiesOfWeights(e *catalog.Engine) float64 {
	memory := 0.0
	for _, k := range c {
		memory += k.kind.MemoryMB * float64(k.servers)
	}
	return memory / (e.LayerMB * float64(e.Layers))
}
