package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// probePeriod is how often an instance looks for servers whose memory it should query.
	probePeriod = 100 * time.Millisecond
	// probesPerSecond is the number of queries that all instances together may send in a second, and minProbes the number
	// that each of them may send at least: each query has its cost.
	probesPerSecond = 40.0
	minProbes       = 2.0
	// sharedProbes is the number of queries that each instance may send in a second while all instances share the reports of
	// servers: together they query each server of their domain about once a second.
	sharedProbes = 1.0
	// maxProbesPerRound limits the queries of one round.
	maxProbesPerRound = 4.0
	// freshReportAge is how old the latest report of a server on its memory must be for the server to be queried again.
	freshReportAge = 500 * time.Millisecond
	// ownDomainProbeWeight is the weight of servers that limit lanes of the own domain. They are queried that many times sooner,
	// since these lanes get most of the streams.
	ownDomainProbeWeight = 3
)

// prober queries the servers that limit the lanes for their memory. An instance knows only its own streams, so a server that
// does not report its load with each answer looks idle to it until the server refuses work.
type prober struct {
	handler *Handler
	// allowed is the number of queries that may be sent now.
	allowed float64
}

func startProber(ctx context.Context, h *Handler) {
	// Instances that start together would otherwise all query at the same time, and learn from each other only what they
	// have just queried themselves.
	p := &prober{handler: h, allowed: rand.Float64()}
	ticks := h.clock.Subscribe(probePeriod)
	go func() { h.guard.OnTicks(ctx, partName, ticks, p.round) }()
}

// round queries some servers of the chained services if there are streams under way.
func (p *prober) round() {
	h := p.handler
	rate := max(probesPerSecond/float64(h.instances.Instances()), minProbes)
	if h.fleetView.ReportsShared(h.clock.Now()) {
		rate = sharedProbes
	}
	p.allowed = min(p.allowed+rate*probePeriod.Seconds(), maxProbesPerRound)
	if h.watch.count() == 0 {
		return
	}
	for _, group := range h.fleetView.Current().Groups() {
		if group.Graph() != nil {
			p.probe(group)
		}
	}
}

// probe queries the servers that limit the lanes of a service, those with the oldest reports first. While instances share
// the reports of servers, they query all servers of their domain, drawn at random with the age of the latest report as
// weight, so that a slow server is known before it delays a stream.
func (p *prober) probe(group *backend.Group) {
	h, now := p.handler, p.handler.clock.Now()
	domain, shared := h.settings.Load().Domain, h.fleetView.ReportsShared(now)
	targets := bottlenecks(group, h.lanesOf(group, now), domain)
	if shared {
		targets.addDomain(domain)
	}
	for ; p.allowed >= 1; p.allowed-- {
		server := targets.highest(now)
		if shared {
			server = targets.draw(now, rand.Float64())
		}
		if server == nil {
			return
		}
		h.queryIfActive(server, reasonMemory)
	}
}

// probeTargets holds for each server of a group how many times sooner it should be queried than others; a weight of 0 means
// that it should not be queried.
type probeTargets struct {
	servers []*backend.Server
	weights []float64
}

// bottlenecks returns the servers that limit lanes.
func bottlenecks(group *backend.Group, lanes []chain.Lane, domain string) probeTargets {
	t := probeTargets{servers: group.Servers(), weights: make([]float64, len(group.Servers()))}
	for i := range lanes {
		n := chain.Bottleneck(group.Graph(), lanes[i].Hops)
		if n < 0 {
			// Where memory is unlimited, nothing limits the lane.
			continue
		}
		t.weights[n] = max(t.weights[n], 1)
		if lanes[i].Domain == domain {
			t.weights[n] = ownDomainProbeWeight
		}
	}
	return t
}

// addDomain adds all servers of a domain; those that limit its lanes keep their higher weight.
func (t probeTargets) addDomain(domain string) {
	for i, s := range t.servers {
		if s.Domain() == domain {
			t.weights[i] = max(t.weights[i], 1)
		}
	}
}

// priority returns how urgent it is to query the i-th server, 0 when its report is recent or it cannot be queried.
func (t probeTargets) priority(i int, now time.Time) float64 {
	s := t.servers[i]
	age := min(s.ReportAge(now), maxReportAge)
	if t.weights[i] == 0 || age < freshReportAge || s.Leaving() || s.Ended() || s.BackedOff(now) || !s.MayQuery(now) {
		return 0
	}
	return age.Seconds() * t.weights[i]
}

// highest returns the server that should be queried first, or nil when all reports are recent.
func (t probeTargets) highest(now time.Time) *backend.Server {
	var out *backend.Server
	most := 0.0
	for i, s := range t.servers {
		if priority := t.priority(i, now); priority > most {
			out, most = s, priority
		}
	}
	return out
}

// draw returns a server at random, weighted by priority, since all instances know the same ages and would query the same
// server; random is uniform in [0, 1).
func (t probeTargets) draw(now time.Time, random float64) *backend.Server {
	all := 0.0
	for i := range t.servers {
		all += t.priority(i, now)
	}
	left := random * all
	for i, s := range t.servers {
		priority := t.priority(i, now)
		if priority > 0 && left < priority {
			return s
		}
		left -= priority
	}
	return nil
}
