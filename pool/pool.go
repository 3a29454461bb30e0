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
	// progressPeriod is the interval between checks for stalled servers.
	progressPeriod = 10 * time.Millisecond
	// initialPathCap is the number of stages for which a path is allocated.
	initialPathCap = 8
)

// Spec describes a server that the pool should hold.
type Spec struct {
	Name string
	// Addr is the server's IP number and port.
	Addr string
	// Domain is the server's failure domain.
	Domain string
}

// Pool holds the servers by index; an index is never reused for another server.
type Pool struct {
	client *engine.Client
	clock  *timer.Service
	stats  *metrics.Registry
	list   atomic.Pointer[[]*Server]
	// busy receives an element when a frame begins at a server that had none in flight.
	busy chan struct{}

	mu     sync.Mutex
	byName map[string]int
}

// New returns an empty Pool and starts the checks for stalled servers.
func New(client *engine.Client, clock *timer.Service, stats *metrics.Registry) *Pool {
	p := &Pool{client: client, clock: clock, stats: stats, byName: map[string]int{}, busy: make(chan struct{}, 1)}
	p.list.Store(&[]*Server{})
	go func() { p.watchProgress() }()
	return p
}

// wake resumes the checks for stalled servers, which pause while no frame is in flight.
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

// checkProgress checks all servers for a stall and reports whether any frame is in flight.
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

// Ensure returns the index of the server with the name and address of spec, and adds the server when it is new.
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

// Client returns the client for single calls to servers.
func (p *Pool) Client() *engine.Client { return p.client }

// Avoid lists the servers, by index, that the next attempt at a request should not use because they failed an earlier attempt.
type Avoid struct {
	// Lost lists servers that gave no answer.
	Lost []int
	// Busy lists servers that refused work or were slow.
	Busy []int
}

// Choose returns a path through the graph and reports whether there is one. It uses servers in avoid, and those with open
// circuits, only when no other path exists, since the request would be refused otherwise. Servers that gave no answer are the
// last resort: a server that refused work a moment ago is running, while one that has terminated would use up the request's
// attempts.
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

// HasPath reports whether there is a path of usable servers without those in avoid.
func (p *Pool) HasPath(g *route.Graph, avoid Avoid) bool {
	l := loads{servers: *p.list.Load(), now: p.clock.Now(), filter: filter{avoid: avoid}}
	_, ok := route.Choose(g, l, random{}, make([]route.Node, 0, initialPathCap))
	return ok
}

// filter restricts the servers that a path may use.
type filter struct {
	avoid Avoid
	// ignoreCircuits admits servers with open circuits.
	ignoreCircuits bool
}

// loads implements route.Loads: the state of the servers at one moment, restricted by a filter.
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

// random implements route.Random.
type random struct{}

// Float64 implements route.Random.
func (random) Float64() float64 { return rand.Float64() }
