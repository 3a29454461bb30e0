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
	// probesPerSecond bounds the questions of all instances together; each has its price.
	probesPerSecond = 40.0
	// freshWord is how old a server's word on its memory may be before it is asked again.
	freshWord = 500 * time.Millisecond
)

// prober asks the servers that the lanes depend on for their memory. An instance knows only its own streams, and servers that
// do not tell their load with each answer look empty to it until they turn work away.
type prober struct {
	handler *Handler
	// allowed is the number of questions that may be asked now.
	allowed float64
	// next is where the round over the lanes goes on.
	next int
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
	p.allowed += probesPerSecond * probePeriod.Seconds() / float64(h.census.Instances())
	p.allowed = min(p.allowed, mostProbes)
	if h.watch.count() == 0 {
		return
	}
	for _, group := range h.board.Current().Groups() {
		if group.Graph() != nil {
			p.probe(group)
		}
	}
}

// mostProbes bounds the questions of one round.
const mostProbes = 4.0

// probe asks the servers that bound the lanes of a service, in turn.
func (p *prober) probe(group *backend.Group) {
	h, now := p.handler, p.handler.clock.Now()
	lanes := h.lanesOf(group, now)
	for range lanes {
		if p.allowed < 1 {
			return
		}
		lane := &lanes[p.next%len(lanes)]
		p.next++
		server := group.Servers()[chain.Narrowest(group.Graph(), lane.Hops)]
		if server.MemoryAge(now) < freshWord {
			continue
		}
		p.allowed--
		h.inquire(server, "memory")
	}
}
