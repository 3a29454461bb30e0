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
	leastProbes     = 2.0
	// sharedProbes is what each instance may ask in a second while all pass on what they are told, so that together they ask each server
	// of their domain about once a second.
	sharedProbes = 1.0
	// mostProbes bounds the questions of one round.
	mostProbes = 4.0
	// freshWord is how old a server's word on its memory may be before it is asked again.
	freshWord = 500 * time.Millisecond
	// ownDomain is how many times sooner the servers of the own domain are asked, which get most of the streams.
	ownDomain = 3
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
	rate := max(probesPerSecond/float64(h.census.Instances()), leastProbes)
	if h.board.Shared(h.clock.Now()) {
		rate = sharedProbes
	}
	p.allowed = min(p.allowed+rate*probePeriod.Seconds(), mostProbes)
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
	due := narrowest(group, h.lanesOf(group, now), domain)
	if shared {
		due.addDomain(domain)
	}
	for ; p.allowed >= 1; p.allowed-- {
		server := due.oldest(now)
		if shared {
			server = due.drawn(now, rand.Float64())
		}
		if server == nil {
			return
		}
		h.inquire(server, whyMemory)
	}
}

// urgencies tell how many times sooner each server of a group should be asked than others; zero means that it should not.
type urgencies struct {
	servers []*backend.Server
	weights []float64
}

// narrowest returns the servers that bound lanes.
func narrowest(group *backend.Group, lanes []chain.Lane, domain string) urgencies {
	u := urgencies{servers: group.Servers(), weights: make([]float64, len(group.Servers()))}
	for i := range lanes {
		n := chain.Narrowest(group.Graph(), lanes[i].Hops)
		u.weights[n] = max(u.weights[n], 1)
		if lanes[i].Domain == domain {
			u.weights[n] = ownDomain
		}
	}
	return u
}

// addDomain adds all servers of a domain; those that bound its lanes stay more urgent.
func (u urgencies) addDomain(domain string) {
	for i, s := range u.servers {
		if s.Domain() == domain {
			u.weights[i] = max(u.weights[i], 1)
		}
	}
}

// urgency returns how urgent it is to ask the i-th server, zero when it told lately or cannot be asked.
func (u urgencies) urgency(i int, now time.Time) float64 {
	s := u.servers[i]
	age := min(s.WordAge(now), wordAge)
	if u.weights[i] == 0 || age < freshWord || s.Leaving() || s.Ended() || s.BackedOff(now) || !s.Askable(now) {
		return 0
	}
	return age.Seconds() * u.weights[i]
}

// oldest returns the server that should be asked first, or nil when all have told lately.
func (u urgencies) oldest(now time.Time) *backend.Server {
	var out *backend.Server
	most := 0.0
	for i, s := range u.servers {
		if urgency := u.urgency(i, now); urgency > most {
			out, most = s, urgency
		}
	}
	return out
}

// drawn returns a server by chance, since all instances know the same ages and would ask the same one; random is uniform in [0, 1).
func (u urgencies) drawn(now time.Time, random float64) *backend.Server {
	all := 0.0
	for i := range u.servers {
		all += u.urgency(i, now)
	}
	left := random * all
	for i, s := range u.servers {
		urgency := u.urgency(i, now)
		if urgency > 0 && left < urgency {
			return s
		}
		left -= urgency
	}
	return nil
}
