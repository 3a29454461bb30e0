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
	// promise is how long after its acceptance a configuration may be missing at an instance that can hear of it, and longPromise the same
	// for a fleet of hundreds.
	promise     = 3 * time.Second
	longPromise = 4 * time.Second
	// endExtraTime is how much longer an end under a request may take: what the platform allows fleets of 72 and 295 more than for a configuration.
	endExtraTime = time.Second
	// settled is how long an instance must have run to be held to the promise.
	settled = 6 * time.Second
	// storeAnswer and linkAnswer are how long the store and another instance take on a calm day, slowAnswer the store on a bad one.
	storeAnswer      = 4 * time.Millisecond
	linkAnswer       = time.Millisecond
	slowStoreLatency = 200 * time.Millisecond
	// mostCalls is the most that an instance may ask the store in a day: four times a second.
	mostCalls = 120
)

// play is a day with its instances and its store.
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
	// floor is the version after which the store's history is whole.
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

// noEnds is Ends of an instance under which no server has ended.
type noEnds struct{}

// Untold implements Ends.
func (noEnds) Untold() []quarantine.End { return nil }

// Adopt implements Ends.
func (noEnds) Adopt([]quarantine.End) {}

func (p *play) now() time.Duration { return time.Since(p.begun) }

// start runs an instance with what is real of it but its connections.
func (p *play) start(i int) {
	m := p.members[i]
	board, book, clock := follow.NewBoard(), quarantine.NewBook(quarantine.Terms{Keep: time.Hour, Most: 1000}), timer.NewReal()
	s := New(Self{Name: m.Name, Domain: m.Domain, Addr: m.Addr, From: 24, ApplyTime: p.promise}, simStore{p, i}, known(p.members), board, noEnds{}, nil, clock, metrics.New(), p.log)
	s.peers = simPeers{p, i}
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

// turn brings the instances, the store's state and those that wait for it to what the day says of this moment.
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

// run plays the day and returns what broke the promise.
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

// end stops all instances; what was asked last ends within its own bounds.
func (p *play) end() {
	for i := range p.members {
		if p.stops[i] != nil {
			p.stop(i)
		}
	}
	time.Sleep(settled)
}

// forget lets the calls of the store be counted anew.
func (p *play) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
}

// checkDeadlines returns which instances lack a configuration, or an end that was written with one, whose time is over.
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

// lacking returns which instances lack something that was written at a moment and had its time.
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

// mustHave reports whether an instance could hear of what was written all the time: from the store, or from the relay of its domain.
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

// pollsFirst reports whether an instance asks the one at addr before all others.
func (s *Source) pollsFirst(addr string) bool { return s.ways()[0].addr == addr }
