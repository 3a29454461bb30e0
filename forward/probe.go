package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// probePeriod is how often an instance looks which servers it should ask for their memory.
	probePeriod = 100 * time.Millisecond
	// probesPerSecond is the number of questions that all instances together may ask in a second, and leastProbes what each of
	// them may at least: each question has its price.
	probesPerSecond = 40.0
	minProbes       = 2.0
	// sharedProbes is what each instance may ask in a second while all pass on what they are told, so that together they ask each server
	// of their domain about once a second.
	sharedProbes = 1.0
	// maxProbesPerRound bounds the questions of one round.
	maxProbesPerRound = 4.0
	// freshReportAge is how old a server's word on its memory may be before it is asked again.
	freshReportAge = 500 * time.Millisecond
	// ownDomainWeight is how many times sooner the servers of the own domain are asked, which get most of the streams.
	ownDomainWeight = 3
)

// prober asks the servers that the lanes depend on for their memory. An instance knows only its own streams, and servers that
// do not tell their load with each answer look empty to it until they turn work away.
type prober struct {
	handler *Handler
	// allowed is the number of questions that may be asked now.
	allowed float64
}

func startProber(ctx context.Context, h *Handler) {
	// Those that start together would all ask in the same moment, and learn from each other only what they have just asked themselves.
	p := &prober{handler: h, allowed: rand.Float64()}
	ticks := h.clock.Subscribe(probePeriod)
	go func() {
		defer ticks.Stop()
		for {
			select {
			case <-ticks.C():
				p.round()
			case <-ctx.Done():
				return
			}
		}
	}()
}

// round asks some servers of the services that have streams under way.
func (p *prober) round() {
	h := p.handler
	rate := max(probesPerSecond/float64(h.census.Instances()), minProbes)
	if h.board.Shared(h.clock.Now()) {
		rate = sharedProbes
	}
	p.allowed = min(p.allowed+rate*probePeriod.Seconds(), maxProbesPerRound)
	if h.watch.count() == 0 {
		return
	}
	for _, group := range h.board.Current().Groups() {
		if group.Graph() != nil {
			p.probe(group)
		}
	}
}

// probe asks the servers that bound the lanes of a service, those first that told longest ago. While instances pass on what they are
// told, they ask all servers of their domain, drawn by the age of the last word, so that a slow one is known before it holds up a stream.
func (p *prober) probe(group *backend.Group) {
	h, now := p.handler, p.handler.clock.Now()
	domain, shared := h.terms.Load().Domain, h.board.Shared(now)
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
		h.inquire(server, reasonMemory)
	}
}

// probeTargets tell how many times sooner each server of a group should be asked than others; zero means that it should not.
type probeTargets struct {
	servers []*backend.Server
	weights []float64
}

// bottlenecks returns the servers that bound lanes.
func bottlenecks(group *backend.Group, lanes []chain.Lane, domain string) probeTargets {
	t := probeTargets{servers: group.Servers(), weights: make([]float64, len(group.Servers()))}
	for i := range lanes {
		n := chain.Narrowest(group.Graph(), lanes[i].Hops)
		t.weights[n] = max(t.weights[n], 1)
		if lanes[i].Domain == domain {
			t.weights[n] = ownDomainWeight
		}
	}
	return t
}

// addDomain adds all servers of a domain; those that bound its lanes stay more urgent.
func (t probeTargets) addDomain(domain string) {
	for i, s := range t.servers {
		if s.Domain() == domain {
			t.weights[i] = max(t.weights[i], 1)
		}
	}
}

// priority returns how urgent it is to ask the i-th server, zero when it told lately or cannot be asked.
func (t probeTargets) priority(i int, now time.Time) float64 {
	s := t.servers[i]
	age := min(s.WordAge(now), wordAge)
	if t.weights[i] == 0 || age < freshReportAge || s.Leaving() || s.Ended() || s.BackedOff(now) || !s.Askable(now) {
		return 0
	}
	return age.Seconds() * t.weights[i]
}

// highest returns the server that should be asked first, or nil when all have told lately.
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

// draw returns a server by chance, since all instances know the same ages and would ask the same one; random is uniform in [0, 1).
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
