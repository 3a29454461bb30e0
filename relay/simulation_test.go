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

	"junctioncross/census"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/quarantine"
	"junctioncross/timer"
)

const (
	// promise is how long after its acceptance a configuration may be missing at an instance that can learn
	// of it. The second deadline is that of a fleet of hundreds.
	promise     = 3 * time.Second
	longPromise = 4 * time.Second
	// endExtraTime is how much longer an end may take than a configuration; the platform allows fleets of 72 and 295 instances
	// that much more.
	endExtraTime = time.Second
	// settled is how long an instance must have run before the apply deadline holds for it.
	settled = 6 * time.Second
	// Latencies of the store and of another instance under normal load, and of the store when it is slow.
	storeAnswer      = 4 * time.Millisecond
	linkAnswer       = time.Millisecond
	slowStoreLatency = 200 * time.Millisecond
	// mostCalls bounds the store calls of one instance in a scenario: four calls a second.
	mostCalls = 120
)

// play runs a scenario with its instances and its store.
type play struct {
	day
	begun   time.Time
	members []census.Instance
	index   map[string]int
	log     *logrus.Logger

	mu      sync.Mutex
	sources []*Source
	boards  []*follow.Board
	books   []*quarantine.Book
	stops   []func()
	// version is the newest configuration; revisions equal versions.
	version int64
	// floor is the version after which the store's history is complete.
	floor   int64
	changed chan struct{}
	calls   []int
}

func newPlay(members []census.Instance, d day) *play {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	n := len(members)
	p := &play{
		day: d, begun: time.Now(), members: members, index: map[string]int{}, log: log, version: 1, changed: make(chan struct{}),
		sources: make([]*Source, n), boards: make([]*follow.Board, n), books: make([]*quarantine.Book, n), stops: make([]func(), n), calls: make([]int, n),
	}
	for i, m := range members {
		p.index[m.Addr] = i
	}
	return p
}

// noEnds is the Ends of an instance that has seen no server terminate.
type noEnds struct{}

// Untold implements Ends.
func (noEnds) Untold() []quarantine.End { return nil }

// Adopt implements Ends.
func (noEnds) Adopt([]quarantine.End) {}

func (p *play) now() time.Duration { return time.Since(p.begun) }

// start runs an instance with all of its real parts but the connections.
func (p *play) start(i int) {
	m := p.members[i]
	board, book, clock := follow.NewBoard(), quarantine.NewBook(quarantine.Terms{Keep: time.Hour, Most: 1000}), timer.NewReal()
	s := New(Self{Name: m.Name, Domain: m.Domain, Addr: m.Addr, From: 24, ApplyTime: p.promise}, scenarioStore{p, i}, known(p.members), board, noEnds{}, nil, clock, metrics.New(), p.log)
	s.peers = scenarioPeers{p, i}
	ctx, stop := context.WithCancel(context.Background())
	p.mu.Lock()
	p.sources[i], p.boards[i], p.books[i], p.stops[i] = s, board, book, stop
	p.mu.Unlock()
	follow.New(ctx, s, board, book, clock, metrics.New(), p.log)
}

func (p *play) stop(i int) {
	p.stops[i]()
	p.mu.Lock()
	p.sources[i], p.boards[i], p.books[i], p.stops[i] = nil, nil, nil, nil
	p.mu.Unlock()
}

// turn starts and stops instances and updates the store to the present time of the scenario, and wakes the calls that wait
// for the store.
func (p *play) turn() {
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
	for _, at := range p.accepted {
		if at <= now {
			p.version++
		}
	}
	for _, at := range p.forgotten {
		if at == now {
			p.floor = p.version
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// run runs the simulation and returns a line for each missed deadline.
func (p *play) run() []string {
	p.turn()
	var broken []string
	at := p.events()
	for _, accepted := range p.accepted {
		at = append(at, accepted+p.promise, accepted+p.promise+endExtraTime)
	}
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	for _, next := range at {
		if next <= p.now() {
			continue
		}
		time.Sleep(next - p.now())
		p.turn()
		synctest.Wait()
		broken = append(broken, p.checkDeadlines()...)
	}
	p.end()
	return broken
}

// end stops all instances and waits for the calls that are still under way.
func (p *play) end() {
	for i := range p.members {
		if p.stops[i] != nil {
			p.stop(i)
		}
	}
	time.Sleep(settled)
}

// forget resets the counts of store calls.
func (p *play) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
}

// checkDeadlines returns a line for each instance that lacks a configuration, or an end that was written with one, whose
// deadline is now.
func (p *play) checkDeadlines() []string {
	now := p.now()
	var out []string
	for n, accepted := range p.accepted {
		version := int64(n + 2)
		switch now {
		case accepted + p.promise:
			out = append(out, p.lacking("configuration", version, accepted, p.promise, func(i int) bool { return p.configVersion(i) >= version })...)
		case accepted + p.promise + endExtraTime:
			request := endOfVersion(version).Request
			out = append(out, p.lacking("end", version, accepted, p.promise+endExtraTime, func(i int) bool { return p.books[i].Ends(request) > 0 })...)
		}
	}
	return out
}

// lacking returns a line for each instance that lacks something whose deadline has passed and that it could have learned of.
func (p *play) lacking(what string, version int64, written, within time.Duration, has func(i int) bool) []string {
	var out []string
	for i := range p.members {
		if p.mustHave(i, written, within) && !has(i) {
			out = append(out, fmt.Sprintf("%s lacks %s %d, %s after it was written at %s", p.members[i].Name, what, version, within, written))
		}
	}
	return out
}

func (p *play) configVersion(i int) int64 {
	if c := p.boards[i].Current().Catalog(); c != nil {
		return c.Version()
	}
	return 0
}

// mustHave reports whether an instance could learn of a write during the whole time before its deadline: from the store, or
// from the relay of its domain.
func (p *play) mustHave(i int, accepted, within time.Duration) bool {
	until := accepted + within
	if !p.always(accepted-settled, until, func(now time.Duration) bool { return !p.killed(i, now) }) {
		return false
	}
	if p.always(accepted, until, func(now time.Duration) bool { return p.access(i, now) < refused }) {
		return true
	}
	for j, m := range p.members {
		if m.Domain != p.members[i].Domain || !p.sources[i].pollsFirst(m.Addr) {
			continue
		}
		return p.always(accepted-settled, until, func(now time.Duration) bool {
			return !p.killed(j, now) && p.access(j, now) < refused && !p.partitioned(i, j, now)
		})
	}
	return false
}

// pollsFirst reports whether an instance polls the one at addr before all others.
func (s *Source) pollsFirst(addr string) bool { return s.ways()[0].addr == addr }
