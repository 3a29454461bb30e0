package relay

import (
	"hash/fnv"
	"sort"

	"junctioncross/membership"
)

const (
	// ownRelaysAsked is the number of instances of the own domain that are asked before the store: the relay and the standby
	// relay, which takes over when the relay is gone.
	ownRelaysAsked = 2
	// remoteRelaysAsked is the number of relays of other domains that are asked before the store. If the store rejects a third
	// of the instances, it rejects both relays of a domain and these two in one case of a hundred. Each further relay that is
	// asked would have to make a handshake with each instance of the fleet.
	remoteRelaysAsked = 2
)

// ranked returns the instances of each domain in the order in which they should be its relay. The most powerful comes first,
// since the relay does the work of all; among equals the one whose name has the lowest hash, so that all instances agree.
func ranked(members []membership.Instance) map[string][]membership.Instance {
	byDomain := map[string][]membership.Instance{}
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

// upstream is where an instance can get feed updates: another instance at an address, or the store if the address is empty.
type upstream struct{ addr string }

func (u upstream) direct() bool { return u.addr == "" }

// String returns the upstream's name for logs.
func (u upstream) String() string {
	if u.direct() {
		return "store"
	}
	return u.addr
}

// upstreamsOf returns the upstreams of an instance in the order in which they are asked: the relay of its domain, the standby
// relay, some relays of other domains, which help when the first two cannot reach the store, and last the store, which counts
// each call of each instance. The relay itself asks the store first, the standby relay asks it right after the relay, and
// both then ask the relays of all other domains.
func upstreamsOf(self string, domain string, members []membership.Instance) []upstream {
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

// relayUpstreams returns the relays of all domains except one. Each instance starts at another position of the list, so that
// the relays share the load.
func relayUpstreams(byDomain map[string][]membership.Instance, self, except string) []upstream {
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
