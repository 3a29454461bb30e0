package relay

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/follow"
	"junctioncross/membership"
	"junctioncross/metrics"
	"junctioncross/quarantine"
	"junctioncross/timer"
)

const (
	// applyDeadline is how long after its acceptance a configuration may be missing at an instance that can learn of it;
	// largeFleetApplyDeadline is the same for a fleet of hundreds.
	applyDeadline           = 3 * time.Second
	largeFleetApplyDeadline = 4 * time.Second
	// endExtraTime is how much longer an end may take than a configuration; the platform allows fleets of 72 and 295 instances
	// that much more.
	endExtraTime = time.Second
	// warmUpTime is how long an instance must have run before the apply deadline holds for it.
	warmUpTime = 6 * time.Second
	// Latencies of the store and of another instance under normal load, and of the store when it is slow.
	storeLatency     = 4 * time.Millisecond
	linkLatency      = time.Millisecond
	slowStoreLatency = 200 * time.Millisecond
	// maxCalls bounds the store calls of one instance in a scenario: four calls a second.
	maxCalls = 120
)

// simulation runs a scenario with its instances and its store.
type simulation struct {
	scenario
	begun   time.Time
	members []membership.Instance
	index   map[string]int
	log     *logrus.Logger

	mu      sync.Mutex
	sources []*Source
	views   []*follow.FleetView
	books   []*quarantine.Book
	stops   []func()
	// version is the newest configuration; revisions equal versions.
	version int64
	// floor is the version after which the store's history is complete.
	floor   int64
	changed chan struct{}
	calls   []int
}

func newSimulation(members []membership.Instance, d scenario) *simulation {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	n := len(members)
	p := &simulation{
		scenario: d, begun: time.Now(), members: members, index: map[string]int{}, log: log, version: 1, changed: make(chan struct{}),
		sources: make([]*Source, n), views: make([]*follow.FleetView, n), books: make([]*quarantine.Book, n), stops: make([]func(), n), calls: make([]int, n),
	}
	for i, m := range members {
		p.index[m.Addr] = i
	}
	return p
}

// noEnds is the Ends of an instance that has seen no server terminate.
type noEnds struct{}

// Unpublished implements Ends.
func (noEnds) Unpublished() []quarantine.End { return nil }

// Adopt implements Ends.
func (noEnds) Adopt([]quarantine.End) {}

func (p *simulation) now() time.Duration { return time.Since(p.begun) }

// start runs an instance with all of its real parts but the connections.
func (p *simulation) start(i int) {
	m := p.members[i]
	fleetView, book, clock := follow.NewFleetView(), quarantine.NewBook(quarantine.Settings{Keep: time.Hour, MaxRequests: 1000}), timer.NewReal()
	s := New(Self{Name: m.Name, Domain: m.Domain, Addr: m.Addr, RelaysFrom: 24, ApplyTime: p.applyDeadline}, scenarioStore{p, i}, staticFleet(p.members), fleetView, noEnds{}, nil, clock, metrics.New(), p.log)
	s.peers = scenarioPeers{p, i}
	ctx, stop := context.WithCancel(context.Background())
	p.mu.Lock()
	p.sources[i], p.views[i], p.books[i], p.stops[i] = s, fleetView, book, stop
	p.mu.Unlock()
	follow.New(ctx, s, fleetView, book, clock, metrics.New(), p.log)
}

func (p *simulation) stop(i int) {
	p.stops[i]()
	p.mu.Lock()
	p.sources[i], p.views[i], p.books[i], p.stops[i] = nil, nil, nil, nil
	p.mu.Unlock()
}

// advance starts and stops instances and updates the store to the present time of the scenario, and wakes the calls that wait
// for the store.
func (p *simulation) advance() {
	now := p.now()
	for i := range p.members {
		switch dead := p.killed(i, now); {
		case dead && p.stops[i] != nil:
			p.stop(i)
		case !dead && p.stops[i] == nil:
			p.start(i)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = 1
	for _, at := range p.acceptedAt {
		if at <= now {
			p.version++
		}
	}
	for _, at := range p.historyLostAt {
		if at == now {
			p.floor = p.version
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// run runs the simulation and returns a line for each missed deadline.
func (p *simulation) run() []string {
	p.advance()
	var broken []string
	at := p.events()
	for _, accepted := range p.acceptedAt {
		at = append(at, accepted+p.applyDeadline, accepted+p.applyDeadline+endExtraTime)
	}
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	for _, next := range at {
		if next <= p.now() {
			continue
		}
		time.Sleep(next - p.now())
		p.advance()
		synctest.Wait()
		broken = append(broken, p.checkDeadlines()...)
	}
	p.stopAll()
	return broken
}

// stopAll stops all instances and waits for the calls that are still under way.
func (p *simulation) stopAll() {
	for i := range p.members {
		if p.stops[i] != nil {
			p.stop(i)
		}
	}
	time.Sleep(warmUpTime)
}

// resetCalls resets the counts of store calls.
func (p *simulation) resetCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
}

// checkDeadlines returns a line for each instance that lacks a configuration, or an end that was written with one, whose
// deadline is now.
func (p *simulation) checkDeadlines() []string {
	now := p.now()
	var out []string
	for n, accepted := range p.acceptedAt {
		version := int64(n + 2)
		switch now {
		case accepted + p.applyDeadline:
			out = append(out, p.lacking("configuration", version, accepted, p.applyDeadline, func(i int) bool { return p.configVersion(i) >= version })...)
		case accepted + p.applyDeadline + endExtraTime:
			request := endOfVersion(version).Request
			out = append(out, p.lacking("end", version, accepted, p.applyDeadline+endExtraTime, func(i int) bool { return p.books[i].Ends(request) > 0 })...)
		}
	}
	return out
}

// lacking returns a line for each instance that lacks something whose deadline has passed and that it could have learned of.
func (p *simulation) lacking(what string, version int64, written, within time.Duration, has func(i int) bool) []string {
	var out []string
	for i := range p.members {
		if p.mustHave(i, written, within) && !has(i) {
			out = append(out, fmt.Sprintf("%s lacks %s %d, %s after it was written at %s", p.members[i].Name, what, version, within, written))
		}
	}
	return out
}

func (p *simulation) configVersion(i int) int64 {
	if c := p.views[i].Current().Catalog(); c != nil {
		return c.Version()
	}
	return 0
}

// mustHave reports whether an instance could learn of a write during the whole time before its deadline: from the store, or
// from the relay of its domain.
func (p *simulation) mustHave(i int, accepted, within time.Duration) bool {
	until := accepted + within
	if !p.always(accepted-warmUpTime, until, func(now time.Duration) bool { return !p.killed(i, now) }) {
		return false
	}
	if p.always(accepted, until, func(now time.Duration) bool { return p.access(i, now) < refused }) {
		return true
	}
	for j, m := range p.members {
		if m.Domain != p.members[i].Domain || !p.sources[i].pollsFirst(m.Addr) {
			continue
		}
		return p.always(accepted-warmUpTime, until, func(now time.Duration) bool {
			return !p.killed(j, now) && p.access(j, now) < refused && !p.partitioned(i, j, now)
		})
	}
	return false
}

// pollsFirst reports whether an instance polls the one at addr before all others.
func (s *Source) pollsFirst(addr string) bool { return s.upstreams()[0].addr == addr }
