package pool

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"junctioncross/engine"
	"junctioncross/metrics"
	"junctioncross/route"
	"junctioncross/timer"
)

const (
	// progressPeriod is how often stalled servers are looked for.
	progressPeriod = 10 * time.Millisecond
	// pathLength is the number of stages that a path has room for at first.
	pathLength = 8
)

// Spec describes a server that the pool should hold.
type Spec struct {
	Name   string
	Addr   string
	Domain string
}

// Pool holds the servers by index; indexes are never used again.
type Pool struct {
	caller *engine.Caller
	clock  *timer.Service
	stats  *metrics.Registry
	list   atomic.Pointer[[]*Server]
	busy   chan struct{}

	mu     sync.Mutex
	byName map[string]int
}

// New returns an empty Pool and starts the search for stalled servers.
func New(caller *engine.Caller, clock *timer.Service, stats *metrics.Registry) *Pool {
	p := &Pool{caller: caller, clock: clock, stats: stats, byName: map[string]int{}, busy: make(chan struct{}, 1)}
	p.list.Store(&[]*Server{})
	go func() { p.watchProgress() }()
	return p
}

// wake starts the search for stalled servers, which rests while no frame is under way.
func (p *Pool) wake() {
	select {
	case p.busy <- struct{}{}:
	default:
	}
}

func (p *Pool) watchProgress() {
	for range p.busy {
		for p.checkProgress() {
			<-p.clock.After(progressPeriod)
		}
	}
}

// checkProgress looks for stalled servers and reports whether any frame is under way.
func (p *Pool) checkProgress() bool {
	now := p.clock.Now()
	busy := false
	for _, s := range *p.list.Load() {
		if g := s.gatherer.Load(); g != nil {
			g.CheckProgress(now)
			busy = busy || g.InFlight() > 0
		}
	}
	return busy
}

// Ensure returns the index of the server of that name and address, adding it when it is new.
func (p *Pool) Ensure(spec Spec) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := *p.list.Load()
	if i, ok := p.byName[spec.Name]; ok && servers[i].addr == spec.Addr {
		return i
	}
	next := append(append([]*Server(nil), servers...), &Server{
		name: spec.Name, addr: spec.Addr, domain: spec.Domain,
		open: func() *engine.Batcher { return engine.NewBatcher(p.caller, p.clock, spec.Addr, p.stats, p.wake) },
	})
	p.byName[spec.Name] = len(next) - 1
	p.list.Store(&next)
	return len(next) - 1
}

// Server returns the server at an index.
func (p *Pool) Server(i int) *Server { return (*p.list.Load())[i] }

// Caller returns the means of single calls to servers.
func (p *Pool) Caller() *engine.Caller { return p.caller }

// Avoid names the servers that the next attempt at a request had better not pass.
type Avoid struct {
	// Lost gave no answer.
	Lost []int
	// Busy turned work away or were slow.
	Busy []int
}

// Choose returns a path through the graph. It passes servers to be avoided, and those with open circuits, only where the other answer is a
// refusal, and those that gave no answer last: one that turned work away a moment ago is there, while one that has ended uses up attempts.
func (p *Pool) Choose(g *route.Graph, avoid Avoid) ([]route.Node, bool) {
	l := loads{servers: *p.list.Load(), now: p.clock.Now()}
	for _, l.choice = range []choice{
		{avoid: avoid}, {avoid: Avoid{Lost: avoid.Lost}}, {avoid: Avoid{Lost: avoid.Lost}, despite: true}, {}, {despite: true},
	} {
		path, ok := route.Choose(g, l, random{}, make([]route.Node, 0, pathLength))
		if !ok {
			continue
		}
		for _, n := range path {
			l.servers[n.Server].Chosen()
		}
		return path, true
	}
	return nil, false
}

// HasPath reports whether there is a path of usable servers that passes none to be avoided.
func (p *Pool) HasPath(g *route.Graph, avoid Avoid) bool {
	l := loads{servers: *p.list.Load(), now: p.clock.Now(), choice: choice{avoid: avoid}}
	_, ok := route.Choose(g, l, random{}, make([]route.Node, 0, pathLength))
	return ok
}

// choice says which servers may be passed.
type choice struct {
	avoid Avoid
	// despite counts servers with open circuits as usable.
	despite bool
}

// loads shows the servers at one moment to the choice of a route.
type loads struct {
	servers []*Server
	now     time.Time
	choice
}

// Assigned implements route.Loads.
func (l loads) Assigned(i int) int { return int(l.servers[i].assigned.Load()) }

// Usable implements route.Loads.
func (l loads) Usable(i int) bool {
	if slices.Contains(l.avoid.Lost, i) || slices.Contains(l.avoid.Busy, i) {
		return false
	}
	if l.despite {
		return !l.servers[i].Barred()
	}
	return l.servers[i].Usable(l.now)
}

type random struct{}

// Float64 implements route.Random.
func (random) Float64() float64 { return rand.Float64() }
