package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/demand"
)

const (
	// loadDomains domains have loadPerDomain instances each, which is enough for relays.
	loadDomains   = 3
	loadPerDomain = 10
	// loadFaultFrom and loadFaultUntil bound the fault of a play, and loadSettled is how long after a change all totals must be
	// those of the instances that can reach each other.
	loadFaultFrom  = 10 * time.Second
	loadFaultUntil = 30 * time.Second
	loadSettled    = 6 * time.Second
	// loadStep is the time between two checks of the totals.
	loadStep = 200 * time.Millisecond
)

// playLoad plays a fleet in which each instance has one stream and which one fault disturbs. Once the totals have settled, want
// says which number of instances those of a domain must include that an instance knows; -1 means any.
func playLoad(t *testing.T, f fault, want func(p *simulation, at time.Duration, i int, domain string) int) {
	f.from, f.until = loadFaultFrom, loadFaultUntil
	var wrong []string
	synctest.Test(t, func(*testing.T) {
		p := newSimulation(instances(loadDomains, loadPerDomain), scenario{faults: []fault{f}, applyDeadline: applyDeadline})
		p.exchange = true
		p.advance()
		for p.now() < loadFaultUntil+10*time.Second {
			p.setLoads()
			time.Sleep(loadStep)
			if at := p.now(); at == loadFaultFrom || at == loadFaultUntil {
				p.advance()
			}
			synctest.Wait()
			wrong = append(wrong, p.wrongLoads(want)...)
		}
		p.stopAll()
	})
	require.Empty(t, wrong[:min(len(wrong), 10)], "and %d in all", len(wrong))
}

// setLoads lets each instance that runs report one stream.
func (s *simulation) setLoads() {
	for i, m := range s.members {
		if s.stops[i] != nil {
			s.loads[i].SetOwn(m.Name, []demand.Report{{Service: "chat", UnderWay: 1, Room: 100}}, time.Now())
		}
	}
}

// wrongLoads returns a line for the totals of each domain that an instance knows otherwise than wanted.
func (s *simulation) wrongLoads(want func(p *simulation, at time.Duration, i int, domain string) int) []string {
	var out []string
	for i, m := range s.members {
		for d := range loadDomains {
			domain, at := fmt.Sprint("d", d), s.now()
			if s.stops[i] == nil {
				continue
			}
			known := 0
			got, ok := s.loads[i].Totals("chat", domain, time.Now())
			if ok {
				known = got.Instances
			}
			if ok && (got.Age > demand.FreshTime || got.UnderWay != known) {
				out = append(out, fmt.Sprintf("%s at %s: totals of %s are %v", m.Name, at, domain, got))
			}
			if n := want(s, at, i, domain); n >= 0 && n != known {
				out = append(out, fmt.Sprintf("%s at %s: totals of %s are of %d instead of %d", m.Name, at, domain, known, n))
			}
		}
	}
	return out
}

// rankOf returns the place of an instance in the ranking of its domain; the relay has 0.
func rankOf(p *simulation, i int) int {
	for place, m := range ranked(p.members)[p.members[i].Domain] {
		if m.Name == p.members[i].Name {
			return place
		}
	}
	return -1
}

// settledLoad reports whether so much time has passed since the last change that the totals have settled.
func settledLoad(at time.Duration) bool {
	switch {
	case at >= loadFaultUntil:
		return at >= loadFaultUntil+loadSettled
	case at >= loadFaultFrom:
		return at >= loadFaultFrom+loadSettled
	default:
		return at >= loadSettled
	}
}

// duringLoadFault reports whether the fault lasts at a time of the play.
func duringLoadFault(at time.Duration) bool { return at >= loadFaultFrom && at < loadFaultUntil }

// affectedWhere marks the instances for which a condition on their domain and rank holds.
func affectedWhere(holds func(domain string, rank int) bool) []bool {
	p := newSimulation(instances(loadDomains, loadPerDomain), scenario{})
	out := make([]bool, len(p.members))
	for i, m := range p.members {
		out[i] = holds(m.Domain, rankOf(p, i))
	}
	return out
}

// TestLoadIsKnownWhileTheStoreIsDown makes the store silent for all instances: from then on the relays answer no polls. The load of
// the own domain is known all the time until the store is back. For some seconds after that, some instances follow the store
// themselves or poll others than before, and may hold old totals or those of a part of the domain.
func TestLoadIsKnownWhileTheStoreIsDown(t *testing.T) {
	all := affectedWhere(func(string, int) bool { return true })
	playLoad(t, fault{affected: all, access: silent}, func(p *simulation, at time.Duration, i int, domain string) int {
		if at < loadFaultUntil && (settledLoad(at) || at >= loadSettled && domain == p.members[i].Domain) {
			return loadPerDomain
		}
		return -1
	})
}

// TestLoadIsKnownThroughTheStandbyRelay kills the relay of one domain: the totals are then those of its other instances.
func TestLoadIsKnownThroughTheStandbyRelay(t *testing.T) {
	first := affectedWhere(func(domain string, rank int) bool { return domain == "d0" && rank == 0 })
	playLoad(t, fault{affected: first, killed: true}, func(_ *simulation, at time.Duration, _ int, domain string) int {
		switch {
		case !settledLoad(at):
			return -1
		case domain == "d0" && duringLoadFault(at):
			return loadPerDomain - 1
		default:
			return loadPerDomain
		}
	})
}

// TestAnInstanceWithoutARelayFallsBack cuts one instance off from all others: its totals age out, and come back afterwards.
func TestAnInstanceWithoutARelayFallsBack(t *testing.T) {
	last := affectedWhere(func(domain string, rank int) bool { return domain == "d0" && rank == loadPerDomain-1 })
	playLoad(t, fault{affected: last, partitioned: true}, func(_ *simulation, at time.Duration, i int, domain string) int {
		switch {
		case !settledLoad(at):
			return -1
		case last[i] && duringLoadFault(at):
			return 0
		case domain == "d0" && duringLoadFault(at):
			return loadPerDomain - 1
		default:
			return loadPerDomain
		}
	})
}

// TestEachHalfOfADomainHasTotals cuts a half of a domain off from all others; it has the standby relay, the other half the relay.
func TestEachHalfOfADomainHasTotals(t *testing.T) {
	half := affectedWhere(func(domain string, rank int) bool { return domain == "d0" && rank%2 == 1 })
	playLoad(t, fault{affected: half, partitioned: true}, func(_ *simulation, at time.Duration, i int, domain string) int {
		switch {
		case !settledLoad(at):
			return -1
		case domain == "d0" && duringLoadFault(at):
			return loadPerDomain / 2
		case half[i] && duringLoadFault(at):
			return 0
		default:
			return loadPerDomain
		}
	})
}
