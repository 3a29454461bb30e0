package leader

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/testlog"
	"junctioncross/timer"
)

const (
	// entryDelay is how long a change of a server takes to show in its entry.
	entryDelay = 2 * roundPeriod
	// expiry is how long the entry of a server that has crashed stays.
	expiry = 18 * roundPeriod
)

// fakeServer is a backend server of a fakeFleet; its entry follows its state after entryDelay.
type fakeServer struct {
	view  *backend.Server
	entry backend.Entry
	// holds is what the server holds, next what it will hold at readyAt if it is loading.
	holds, next models.Layers
	loading     bool
	readyAt     time.Time
	// draining keeps the server busy, with its new layers announced, until the given time.
	draining  time.Time
	changedAt time.Time
	crashedAt time.Time
	dead      bool
	unlisted  bool
	orders    int64
}

// fakeFleet is a backend.EngineClient of servers that load layers, crash and come back.
type fakeFleet struct {
	clock   *clockwork.FakeClock
	engine  *catalog.Engine
	servers []*fakeServer
	byAddr  map[string]*fakeServer

	mu sync.Mutex
	// given, refused and unanswered count orders by their outcome, reports the queries of states.
	given, refused, unanswered, reports int
	// garbled makes all reports unreadable.
	garbled bool
	// gap is the number of rounds, over the domains, in which a domain lacked a layer.
	gap int
}

// unlikeEngine returns an engine of 80 layers for servers of four kinds.
func unlikeEngine() *catalog.Engine {
	return &catalog.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590000, Step: time.Millisecond, ReadPerSecond: 196000,
		UsualPrompt: 772, UsualAnswer: 172, LoadTime: 14 * time.Second,
		Kinds: []catalog.Kind{
			{Name: "big", MemoryMB: 72000, StepPace: 1.4, ReadPace: 1},
			{Name: "mid", MemoryMB: 36000, StepPace: 3.1, ReadPace: 3.2},
			{Name: "small", MemoryMB: 21600, StepPace: 16, ReadPace: 8.2},
			{Name: "tiny", MemoryMB: 14400, StepPace: 15, ReadPace: 15},
		},
	}
}

// newFakeFleet returns a fleet with servers of the given kinds in each domain.
func newFakeFleet(domains []string, kinds ...string) *fakeFleet {
	f := &fakeFleet{clock: clockwork.NewFakeClock(), engine: unlikeEngine(), byAddr: map[string]*fakeServer{}}
	for _, domain := range domains {
		for i, kind := range kinds {
			s := &fakeServer{entry: backend.Entry{
				ID: fmt.Sprintf("%s%02d", domain, i), Addr: fmt.Sprintf("%s:%d", domain, i), Service: "m", Domain: domain, Kind: kind, Born: 1,
			}}
			s.view = backend.NewServer(s.entry)
			f.servers = append(f.servers, s)
			f.byAddr[s.entry.Addr] = s
		}
	}
	return f
}

// newLeader returns what a leader that has just taken over knows.
func (f *fakeFleet) newLeader(t *testing.T) *serviceTerm {
	return newServiceTerm(&Leader{engines: f, clock: timer.New(f.clock), stats: metrics.New(), log: testlog.New(t)})
}

// rounds plays rounds of a leader.
func (f *fakeFleet) rounds(t *testing.T, leader *serviceTerm, d time.Duration) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += roundPeriod {
		f.update()
		leader.place(t.Context(), f.engine, f.listed())
		f.clock.Advance(roundPeriod)
	}
}

// update ends loads that are due and brings the entries up to date.
func (f *fakeFleet) update() {
	now := f.clock.Now()
	for _, s := range f.servers {
		if s.loading && !now.Before(s.readyAt) {
			s.holds, s.loading, s.changedAt = s.next, false, now
		}
		if !s.dead && s.entry.Layers != s.holds && now.Sub(s.changedAt) >= entryDelay {
			s.entry.Layers = s.holds
			s.view.Update(s.entry)
		}
	}
	for _, missing := range f.missing() {
		if missing > 0 {
			f.gap++
		}
	}
}

// listed returns the servers whose entries are there.
func (f *fakeFleet) listed() []*backend.Server {
	var out []*backend.Server
	for _, s := range f.servers {
		if !s.unlisted && (!s.dead || f.clock.Since(s.crashedAt) < expiry) {
			out = append(out, s.view)
		}
	}
	return out
}

// missing returns the number of layers that no server of a domain holds.
func (f *fakeFleet) missing() map[string]int {
	held := map[string][]bool{}
	for _, s := range f.servers {
		if held[s.entry.Domain] == nil {
			held[s.entry.Domain] = make([]bool, f.engine.Layers)
		}
		for l := s.holds.First; l < s.holds.End && !s.dead; l++ {
			held[s.entry.Domain][l] = true
		}
	}
	out := map[string]int{}
	for domain, layers := range held {
		for _, h := range layers {
			if !h {
				out[domain]++
			}
		}
	}
	return out
}

// soleHolder returns the first server that alone holds a layer in its domain.
func (f *fakeFleet) soleHolder() *fakeServer {
	for _, s := range f.servers {
		s.dead = true
		missing := f.missing()[s.entry.Domain]
		s.dead = false
		if missing > 0 {
			return s
		}
	}
	return nil
}

// crash ends a server.
func (f *fakeFleet) crash(s *fakeServer) { s.dead, s.crashedAt = true, f.clock.Now() }

// restart brings a server back as a new incarnation that holds nothing.
func (f *fakeFleet) restart(s *fakeServer) {
	entry := s.entry
	entry.Born, entry.Layers = entry.Born+1, models.Layers{}
	*s = fakeServer{entry: entry, view: backend.NewServer(entry)}
}

// busy reports whether a server is carrying out an order.
func (f *fakeFleet) busy(s *fakeServer) bool { return s.loading || f.clock.Now().Before(s.draining) }

// Report implements backend.EngineClient.
func (f *fakeFleet) Report(_ context.Context, addr string) (backend.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	s := f.byAddr[addr]
	switch {
	case s.dead:
		return backend.Report{}, backend.ErrNoAnswer
	case f.garbled:
		return backend.Report{}, backend.ErrGarbled
	}
	return backend.Report{Born: s.entry.Born, Busy: f.busy(s), Layers: s.holds, Orders: s.orders}, nil
}

// Place implements backend.EngineClient.
func (f *fakeFleet) Place(_ context.Context, addr, id string, o backend.PlaceOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddr[addr]
	if s.dead {
		f.unanswered++
		return backend.ErrNoAnswer
	}
	if f.busy(s) || o.ExpectOrders != s.orders || id != s.entry.ID {
		f.refused++
		return backend.ErrStale
	}
	f.given++
	s.orders++
	kept := models.Layers{First: max(s.holds.First, o.Layers.First), End: min(s.holds.End, o.Layers.End)}
	if kept.End <= kept.First {
		kept = models.Layers{}
	}
	load := f.engine.LoadTime * time.Duration(o.Layers.Count()-kept.Count()) / time.Duration(f.engine.Layers)
	s.holds, s.next, s.loading, s.readyAt, s.changedAt = kept, o.Layers, true, f.clock.Now().Add(load), f.clock.Now()
	return nil
}

// Repair implements backend.EngineClient.
func (*fakeFleet) Repair(context.Context, string, string, []call.Stage) error { return nil }
