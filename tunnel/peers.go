package tunnel

import (
	"cmp"
	"slices"
	"time"

	"junctioncross/membership"
)

const (
	// otherDomainCost and unknownCost are added to the number of tunnels that an instance carries, for one of another domain and for
	// one that has not shown lately that it reaches servers: instances are tried before those that work carry many more than they.
	otherDomainCost = 8
	unknownCost     = 4
	// knownTime is for how long an instance that has reached a server is known to do so.
	knownTime = 10 * time.Second
	// forgetTime is for how long an instance is remembered.
	forgetTime = time.Minute
)

// avoidTimes is for how long an instance is passed over after a verdict.
var avoidTimes = map[Verdict]time.Duration{NoPath: time.Second, Busy: 500 * time.Millisecond, Stopping: 10 * time.Second, Unreachable: 300 * time.Millisecond}

// lostTime is for how long an instance is passed over that gave no verdict.
const lostTime = 2 * time.Second

// peer is what is known of another instance that may carry tunnels.
type peer struct {
	// carried is the number of tunnels that it carried by its last reply, and of those opened and ended since.
	carried int
	// reachedAt is when it last showed that it reaches servers.
	reachedAt  time.Time
	avoidUntil time.Time
	notedAt    time.Time
}

// peers chooses the instances that tunnels are opened through. It is not safe for concurrent use.
type peers struct {
	domain string
	byAddr map[string]*peer
}

func newPeers(domain string) *peers { return &peers{domain: domain, byAddr: map[string]*peer{}} }

// order returns the instances that may carry a tunnel, the best ones first. Random returns a random number in [0, 1).
func (p *peers) order(members []membership.Instance, now time.Time, random func() float64) []membership.Instance {
	type ranked struct {
		instance membership.Instance
		cost     float64
	}
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		if cost, usable := p.cost(m, now); usable {
			all = append(all, ranked{m, cost + random()})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]membership.Instance, len(all))
	for i, one := range all {
		out[i] = one.instance
	}
	return out
}

// cost returns how much a further tunnel burdens an instance; false means that it carries none now.
func (p *peers) cost(m membership.Instance, now time.Time) (float64, bool) {
	cost := 0.0
	if m.Domain != p.domain {
		cost += otherDomainCost
	}
	one := p.byAddr[m.Addr]
	if one == nil || now.Sub(one.reachedAt) > knownTime {
		cost += unknownCost
	}
	if one == nil {
		return cost, true
	}
	return cost + float64(one.carried), !now.Before(one.avoidUntil)
}

// note records the reply of an instance.
func (p *peers) note(addr string, a reply, now time.Time) {
	one := p.of(addr, now)
	one.carried = int(a.carried)
	if a.verdict == Opened || a.verdict == NotListening {
		one.reachedAt = now
	}
	one.avoidUntil = now.Add(avoidTimes[a.verdict])
	if a.verdict == Unreachable && now.Sub(one.reachedAt) <= knownTime {
		// It reaches other servers, so that its word counts.
		one.avoidUntil = time.Time{}
	}
}

// noteLost records that an instance gave no verdict.
func (p *peers) noteLost(addr string, now time.Time) { p.of(addr, now).avoidUntil = now.Add(lostTime) }

// noteEnded records that a tunnel through an instance has ended.
func (p *peers) noteEnded(addr string, now time.Time) {
	one := p.of(addr, now)
	one.carried = max(one.carried-1, 0)
}

// of returns what is known of an instance, and forgets those of which nothing was noted for long.
func (p *peers) of(addr string, now time.Time) *peer {
	one := p.byAddr[addr]
	if one == nil {
		for other, old := range p.byAddr {
			if now.Sub(old.notedAt) > forgetTime {
				delete(p.byAddr, other)
			}
		}
		one = &peer{}
		p.byAddr[addr] = one
	}
	one.notedAt = now
	return one
}
