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

// machine is a backend server of a fakeFleet; its entry follows its state after entryDelay.
type machine struct {
	view  *backend.Server
	entry backend.Entry
	// holds is what the machine holds, next what it will hold at readyAt if it is loading.
	holds, next models.Layers
	loading     bool
	readyAt     time.Time
	// draining keeps the machine busy, with its new layers announced, until the given time.
	draining  time.Time
	changedAt time.Time
	crashedAt time.Time
	dead      bool
	unlisted  bool
	orders    int64
}

// fakeFleet is a backend.EngineClient of machines that load layers, crash and come back.
type fakeFleet struct {
	clock    *clockwork.FakeClock
	engine   *catalog.Engine
	machines []*machine
	byAddr   map[string]*machine

	mu sync.Mutex
	// given, refused and unanswered count orders by their outcome, reports the queries of states.
	given, refused, unanswered, reports int
	// garbled makes all reports unreadable.
	garbled bool
	// gap is the number of rounds, over the domains, in which a domain lacked a layer.
	gap int
}

// unlikeEngine returns an engine of 80 layers for machines of four kinds.
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

// newFakeFleet returns a fleet with machines of the given kinds in each domain.
func newFakeFleet(domains []string, kinds ...string) *fakeFleet {
	f := &fakeFleet{clock: clockwork.NewFakeClock(), engine: unlikeEngine(), byAddr: map[string]*machine{}}
	for _, domain := range domains {
		for i, kind := range kinds {
			m := &machine{entry: backend.Entry{
				ID: fmt.Sprintf("%s%02d", domain, i), Addr: fmt.Sprintf("%s:%d", domain, i), Service: "m", Domain: domain, Kind: kind, Born: 1,
			}}
			m.view = backend.NewServer(m.entry)
			f.machines = append(f.machines, m)
			f.byAddr[m.entry.Addr] = m
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
	for _, m := range f.machines {
		if m.loading && !now.Before(m.readyAt) {
			m.holds, m.loading, m.changedAt = m.next, false, now
		}
		if !m.dead && m.entry.Layers != m.holds && now.Sub(m.changedAt) >= entryDelay {
			m.entry.Layers = m.holds
			m.view.Update(m.entry)
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
	for _, m := range f.machines {
		if !m.unlisted && (!m.dead || f.clock.Since(m.crashedAt) < expiry) {
			out = append(out, m.view)
		}
	}
	return out
}

// missing returns the number of layers that no machine of a domain holds.
func (f *fakeFleet) missing() map[string]int {
	held := map[string][]bool{}
	for _, m := range f.machines {
		if held[m.entry.Domain] == nil {
			held[m.entry.Domain] = make([]bool, f.engine.Layers)
		}
		for l := m.holds.First; l < m.holds.End && !m.dead; l++ {
			held[m.entry.Domain][l] = true
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

// soleHolder returns the first machine that alone holds a layer in its domain.
func (f *fakeFleet) soleHolder() *machine {
	for _, m := range f.machines {
		m.dead = true
		missing := f.missing()[m.entry.Domain]
		m.dead = false
		if missing > 0 {
			return m
		}
	}
	return nil
}

// crash ends a machine.
func (f *fakeFleet) crash(m *machine) { m.dead, m.crashedAt = true, f.clock.Now() }

// restart brings a machine back as a new incarnation that holds nothing.
func (f *fakeFleet) restart(m *machine) {
	entry := m.entry
	entry.Born, entry.Layers = entry.Born+1, models.Layers{}
	*m = machine{entry: entry, view: backend.NewServer(entry)}
}

// busy reports whether a machine is carrying out an order.
func (f *fakeFleet) busy(m *machine) bool { return m.loading || f.clock.Now().Before(m.draining) }

// Report implements backend.EngineClient.
func (f *fakeFleet) Report(_ context.Context, addr string) (backend.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	m := f.byAddr[addr]
	switch {
	case m.dead:
		return backend.Report{}, backend.ErrNoAnswer
	case f.garbled:
		return backend.Report{}, backend.ErrGarbled
	}
	return backend.Report{Born: m.entry.Born, Busy: f.busy(m), Layers: m.holds, Orders: m.orders}, nil
}

// Place implements backend.EngineClient.
func (f *fakeFleet) Place(_ context.Context, addr, id string, o backend.PlaceOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.byAddr[addr]
	if m.dead {
		f.unanswered++
		return backend.ErrNoAnswer
	}
	if f.busy(m) || o.ExpectOrders != m.orders || id != m.entry.ID {
		f.refused++
		return backend.ErrStale
	}
	f.given++
	m.orders++
	kept := models.Layers{First: max(m.holds.First, o.Layers.First), End: min(m.holds.End, o.Layers.End)}
	if kept.End <= kept.First {
		kept = models.Layers{}
	}
	load := f.engine.LoadTime * time.Duration(o.Layers.Count()-kept.Count()) / time.Duration(f.engine.Layers)
	m.holds, m.next, m.loading, m.readyAt, m.changedAt = kept, o.Layers, true, f.clock.Now().Add(load), f.clock.Now()
	return nil
}

// Repair implements backend.EngineClient.
func (*fakeFleet) Repair(context.Context, string, string, []call.Stage) error { return nil }
