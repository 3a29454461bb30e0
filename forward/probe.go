package forward

import (
	"context"
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
	p := &prober{handler: h}
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

// probe asks the servers that bound the lanes of a service, those first that told longest ago.
func (p *prober) probe(group *backend.Group) {
	h, now := p.handler, p.handler.clock.Now()
	lanes := h.lanesOf(group, now)
	for ; p.allowed >= 1; p.allowed-- {
		server := p.stalest(group, lanes, now)
		if server == nil {
			return
		}
		h.inquire(server, whyMemory)
	}
}

// stalest returns the server that should be asked first, or nil when all have told lately.
func (p *prober) stalest(group *backend.Group, lanes []chain.Lane, now time.Time) *backend.Server {
	var out *backend.Server
	var oldest time.Duration
	for i := range lanes {
		server := group.Servers()[chain.Narrowest(group.Graph(), lanes[i].Hops)]
		age := min(server.MemoryAge(now), wordAge)
		if age < freshWord || !server.Askable(now) {
			continue
		}
		if lanes[i].Domain == p.handler.terms.Load().Domain {
			age *= ownDomain
		}
		if age > oldest {
			out, oldest = server, age
		}
	}
	return out
}
