package relay

import (
	"hash/fnv"
	"sort"

	"junctioncross/census"
)

const (
	// ownRelaysAsked is the number of instances of the own domain that are asked before the store: the relay and the one that
	// takes over when it is gone.
	ownRelaysAsked = 2
	// remoteRelaysAsked is the number of relays of other domains that are asked before the store. A store that turns away a third of the instances
	// turns away both relays of a domain and these two in one case of a hundred; each one more costs its relay a handshake for each
	// instance of the fleet.
	remoteRelaysAsked = 2
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

// upstream is one place where news can be had: a relay's address, or the store when it is empty.
type upstream struct{ addr string }

func (u upstream) direct() bool { return u.addr == "" }

// String returns the way's name for logs.
func (u upstream) String() string {
	if u.direct() {
		return "store"
	}
	return u.addr
}

// waysOf returns where an instance asks for news, in order: the relay of its domain and its stand-in, relays of other domains, which help
// when those two do not hear the store, and the store, which counts each call of each instance. The relay itself begins with the store,
// the stand-in asks it after the relay, and both ask the relays of all other domains at last.
func waysOf(self string, domain string, members []census.Instance) []upstream {
	byDomain := ranked(members)
	var upstreams []upstream
	for i, m := range byDomain[domain] {
		if m.Name == self {
			return append(append(upstreams, upstream{}), relayUpstreams(byDomain, self, domain)...)
		}
		upstreams = append(upstreams, upstream{addr: m.Addr})
		if i+1 == ownRelaysAsked {
			break
		}
	}
	others := relayUpstreams(byDomain, self, domain)
	return append(append(upstreams, others[:min(remoteRelaysAsked, len(others))]...), upstream{})
}

// relayUpstreams returns the relays of the domains but one, which each instance begins with another of, so that they share the questions.
func relayUpstreams(byDomain map[string][]census.Instance, self, except string) []upstream {
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		if d != except {
			domains = append(domains, d)
		}
	}
	sort.Strings(domains)
	first := int(hashOf(self))
	upstreams := make([]upstream, len(domains))
	for i := range domains {
		upstreams[i] = upstream{addr: byDomain[domains[(first+i)%len(domains)]][0].Addr}
	}
	return upstreams
}
