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
	// initialPathCap is the number of stages that a path has room for at first.
	initialPathCap = 8
)

// Spec describes a server that the pool should hold.
type Spec struct {
	Name   string
	Addr   string
	Domain string
}

// Pool holds the servers by index; indexes are never used again.
type Pool struct {
	client *engine.Caller
	clock  *timer.Service
	stats  *metrics.Registry
	list   atomic.Pointer[[]*Server]
	busy   chan struct{}

	mu     sync.Mutex
	byName map[string]int
}

// New returns an empty Pool and starts the search for stalled servers.
func New(client *engine.Caller, clock *timer.Service, stats *metrics.Registry) *Pool {
	p := &Pool{client: client, clock: clock, stats: stats, byName: map[string]int{}, busy: make(chan struct{}, 1)}
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
		if g := s.batcher.Load(); g != nil {
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
		newBatcher: func() *engine.Batcher { return engine.NewBatcher(p.client, p.clock, spec.Addr, p.stats, p.wake) },
	})
	p.byName[spec.Name] = len(next) - 1
	p.list.Store(&next)
	return len(next) - 1
}

// Server returns the server at an index.
func (p *Pool) Server(i int) *Server { return (*p.list.Load())[i] }

// Client returns the means of single calls to servers.
func (p *Pool) Client() *engine.Caller { return p.client }

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
	for _, l.filter = range []filter{
		{avoid: avoid}, {avoid: Avoid{Lost: avoid.Lost}}, {avoid: Avoid{Lost: avoid.Lost}, ignoreCircuits: true}, {}, {ignoreCircuits: true},
	} {
		path, ok := route.Choose(g, l, random{}, make([]route.Node, 0, initialPathCap))
		if !ok {
			continue
		}
		for _, n := range path {
			l.servers[n.Server].BeginAttempt()
		}
		return path, true
	}
	return nil, false
}

// HasPath reports whether there is a path of usable servers that passes none to be avoided.
func (p *Pool) HasPath(g *route.Graph, avoid Avoid) bool {
	l := loads{servers: *p.list.Load(), now: p.clock.Now(), filter: filter{avoid: avoid}}
	_, ok := route.Choose(g, l, random{}, make([]route.Node, 0, initialPathCap))
	return ok
}

// filter says which servers may be passed.
type filter struct {
	avoid Avoid
	// ignoreCircuits counts servers with open circuits as usable.
	ignoreCircuits bool
}

// loads shows the servers at one moment to the choice of a route.
type loads struct {
	servers []*Server
	now     time.Time
	filter
}

// Assigned implements route.Loads.
func (l loads) Assigned(i int) int { return int(l.servers[i].assigned.Load()) }

// Usable implements route.Loads.
func (l loads) Usable(i int) bool {
	if slices.Contains(l.avoid.Lost, i) || slices.Contains(l.avoid.Busy, i) {
		return false
	}
	if l.ignoreCircuits {
		return !l.servers[i].Excluded()
	}
	return l.servers[i].Usable(l.now)
}

type random struct{}

// Float64 implements route.Random.
func (random) Float64() float64 { return rand.Float64() }
