package relay

import (
	"hash/fnv"
	"sort"

	"junctioncross/census"
)

const (
	// relaysAsked is the number of instances of the own domain that are asked before the store: the relay and the one that
	// takes over when it is gone.
	relaysAsked = 2
)

// ranked returns the instances of each domain, the one that should be the relay first: the most powerful, since it does the
// work of all, and among equals the one whose name hashes lowest, so that all instances agree.
func ranked(members []census.Instance) map[string][]census.Instance {
	byDomain := map[string][]census.Instance{}
	for _, m := range members {
		if m.Addr != "" {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	for _, list := range byDomain {
		sort.Slice(list, func(i, j int) bool {
			a, b := list[i], list[j]
			if a.Power != b.Power {
				return a.Power > b.Power
			}
			if x, y := hashOf(a.Name), hashOf(b.Name); x != y {
				return x < y
			}
			return a.Name < b.Name
		})
	}
	return byDomain
}

func hashOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// way is one place where news can be had: a relay's address, or the store when it is empty.
type way struct{ addr string }

func (w way) direct() bool { return w.addr == "" }

// String returns the way's name for logs.
func (w way) String() string {
	if w.direct() {
		return "store"
	}
	return w.addr
}

// waysOf returns where an instance asks for news, in order: the relay of its domain and its stand-in, the store, and the
// relays of other domains, which help when the store turns an instance away. The relay itself begins with the store.
func waysOf(self string, domain string, members []census.Instance) []way {
	byDomain := ranked(members)
	var ways []way
	for i, m := range byDomain[domain] {
		if i == relaysAsked || m.Name == self {
			break
		}
		ways = append(ways, way{addr: m.Addr})
	}
	ways = append(ways, way{})
	others := make([]string, 0, len(byDomain))
	for d := range byDomain {
		if d != domain {
			others = append(others, d)
		}
	}
	sort.Strings(others)
	for _, d := range others {
		ways = append(ways, way{addr: byDomain[d][0].Addr})
	}
	return ways
}
