package leader

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// fakeServers is a backend.EngineClient whose servers refuse orders while they are busy.
type fakeServers struct {
	mu sync.Mutex
	// busy, holds and placed are keyed by address.
	busy   map[string]bool
	holds  map[string]models.Layers
	placed map[string][]models.Layers
	// cuts is the number of orders that allow streams to be cut.
	cuts int
}

// Report implements backend.EngineClient.
func (f *fakeServers) Report(_ context.Context, addr string) (backend.Report, error) {
	return backend.Report{Busy: f.busy[addr], Layers: f.holds[addr], Orders: 3}, nil
}

// Place implements backend.EngineClient.
func (f *fakeServers) Place(_ context.Context, addr, _ string, o backend.PlaceOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placed[addr] = append(f.placed[addr], o.Layers)
	if o.Cut {
		f.cuts++
	}
	if f.busy[addr] {
		return backend.ErrStale
	}
	return nil
}

// Repair implements backend.EngineClient.
func (*fakeServers) Repair(context.Context, string, string, []call.Stage) error { return nil }

func engine() *catalog.Engine {
	return &catalog.Engine{
		Layers: 8, LayerMB: 100, TokenBytes: 8000, Step: time.Millisecond, ReadPerSecond: 1e5, UsualPrompt: 100, UsualAnswer: 40,
		LoadTime: 4 * time.Second,
		Kinds:    []catalog.Kind{{Name: "fast", MemoryMB: 1000, StepPace: 1, ReadPace: 1}, {Name: "slow", MemoryMB: 1000, StepPace: 9, ReadPace: 9}},
	}
}

// smallEngine returns an engine whose servers hold half of the model at most.
func smallEngine() *catalog.Engine {
	e := engine()
	for i := range e.Kinds {
		e.Kinds[i].MemoryMB = 500
	}
	return e
}

func server(n int, kind string, layers models.Layers) *backend.Server {
	return serverIn("a", n, kind, layers)
}

func serverIn(domain string, n int, kind string, layers models.Layers) *backend.Server {
	return backend.NewServer(backend.Entry{
		ID: fmt.Sprint("s", n), Addr: fmt.Sprint("127.0.0.1:", n), Service: "m", Domain: domain, Kind: kind, Layers: layers,
	})
}

func newTestTerm(t *testing.T, engines backend.EngineClient) (*serviceTerm, *clockwork.FakeClock) {
	fake := clockwork.NewFakeClock()
	log := testlog.New(t)
	return newServiceTerm(&Leader{engines: engines, clock: timer.New(fake), stats: metrics.New(), log: log}), fake
}

func newFakeServers() *fakeServers {
	return &fakeServers{busy: map[string]bool{}, holds: map[string]models.Layers{}, placed: map[string][]models.Layers{}}
}

// TestBusyServerIsNotOrderedInEachRound places layers while an empty server carries out the order of another leader and
// would refuse all others: it must get none before it has finished, and one then.
func TestBusyServerIsNotOrderedInEachRound(t *testing.T) {
	engines := newFakeServers()
	term, clock := newTestTerm(t, engines)
	whole := server(1, "fast", models.Layers{First: 0, End: 8})
	empty := server(2, "fast", models.Layers{})
	engines.busy[empty.Addr()] = true
	for range 10 {
		term.place(t.Context(), engine(), []*backend.Server{whole, empty})
		clock.Advance(roundPeriod)
	}
	require.Empty(t, engines.placed[empty.Addr()])
	engines.busy[empty.Addr()] = false
	for range 20 {
		term.place(t.Context(), engine(), []*backend.Server{whole, empty})
		clock.Advance(roundPeriod)
	}
	require.Len(t, engines.placed[empty.Addr()], 1, "it is ordered once it is free")
}

// TestAColdServiceWaitsForItsFastServers lets a slow server appear a heartbeat before the fast one, which must still become
// the first server of the path.
func TestAColdServiceWaitsForItsFastServers(t *testing.T) {
	engines := newFakeServers()
	term, clock := newTestTerm(t, engines)
	slow, fast := server(1, "slow", models.Layers{}), server(2, "fast", models.Layers{})
	present := []*backend.Server{slow}
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += roundPeriod {
		if elapsed >= 1200*time.Millisecond {
			present = []*backend.Server{slow, fast}
		}
		term.place(t.Context(), engine(), present)
		clock.Advance(roundPeriod)
	}
	require.Len(t, engines.placed[fast.Addr()], 1)
	require.Equal(t, 0, engines.placed[fast.Addr()][0].First, "the fast server is first on the path")
}

// TestAnEmptyServerWaitsForTheOneThatItReplaces lets an empty server appear a second before one that holds layers leaves, as
// a release does: it must take just the layers of that one.
func TestAnEmptyServerWaitsForTheOneThatItReplaces(t *testing.T) {
	engines := newFakeServers()
	term, clock := newTestTerm(t, engines)
	first, second := server(1, "fast", models.Layers{First: 0, End: 4}), server(2, "fast", models.Layers{First: 4, End: 8})
	empty := server(3, "slow", models.Layers{})
	rounds := func(of time.Duration, present ...*backend.Server) {
		for elapsed := time.Duration(0); elapsed < of; elapsed += roundPeriod {
			term.place(t.Context(), smallEngine(), present)
			clock.Advance(roundPeriod)
		}
	}
	rounds(4*time.Second, first, second)
	rounds(time.Second, first, second, empty)
	require.Empty(t, engines.placed[empty.Addr()], "it is not known yet which server it replaces")
	rounds(roundPeriod, first, empty)
	require.Equal(t, []models.Layers{{First: 4, End: 8}}, engines.placed[empty.Addr()])
}

// TestEmptyServerThatReplacesNoServerIsPlaced adds an empty server while no server leaves: it must get layers when its
// reservation ends.
func TestEmptyServerThatReplacesNoServerIsPlaced(t *testing.T) {
	engines := newFakeServers()
	term, clock := newTestTerm(t, engines)
	whole, empty := server(1, "fast", models.Layers{First: 0, End: 8}), server(2, "slow", models.Layers{})
	for elapsed := time.Duration(0); elapsed < replacementWait+maxQuietWait; elapsed += roundPeriod {
		term.place(t.Context(), engine(), []*backend.Server{whole, empty})
		clock.Advance(roundPeriod)
	}
	require.Len(t, engines.placed[empty.Addr()], 1)
}

// TestArrivalsInOtherDomainsDoNotDelayADomain lets servers appear in another domain one after the other: an empty server
// must not wait for a quiet period there.
func TestArrivalsInOtherDomainsDoNotDelayADomain(t *testing.T) {
	engines := newFakeServers()
	term, clock := newTestTerm(t, engines)
	empty := server(2, "slow", models.Layers{})
	present := []*backend.Server{server(1, "fast", models.Layers{First: 0, End: 8}), empty}
	for elapsed := time.Duration(0); elapsed < replacementWait+2*roundPeriod; elapsed += roundPeriod {
		present = append(present, serverIn("b", 10+len(present), "fast", models.Layers{First: 0, End: 8}))
		term.place(t.Context(), engine(), present)
		clock.Advance(roundPeriod)
	}
	require.Len(t, engines.placed[empty.Addr()], 1)
}

// TestADomainThatIsTooSmallIsLogged leaves a domain with one server, which holds half of the model.
func TestADomainThatIsTooSmallIsLogged(t *testing.T) {
	term, _ := newTestTerm(t, newFakeServers())
	hook := logtest.NewLocal(term.leader.log)
	half := server(1, "fast", models.Layers{First: 0, End: 4})
	term.place(t.Context(), smallEngine(), []*backend.Server{half, server(2, "fast", models.Layers{First: 4, End: 8})})
	require.Empty(t, warnings(hook))
	term.place(t.Context(), smallEngine(), []*backend.Server{half})
	require.Len(t, warnings(hook), 1)
	require.Equal(t, 4, warnings(hook)[0].Data["short_layers"])
	require.Greater(t, warnings(hook)[0].Data["short_mb"], 400, "the memory of four layers and of the sequences beside them")
}

func warnings(hook *logtest.Hook) []*logrus.Entry {
	var out []*logrus.Entry
	for _, e := range hook.AllEntries() {
		if e.Level == logrus.WarnLevel {
			out = append(out, e)
		}
	}
	return out
}

// TestFirstServerOfPathsIsNotCutByAMove loses the only holder of one half of the model beside two holders of the other half:
// a move may cut the streams through a server only if it is not the first of their paths.
func TestFirstServerOfPathsIsNotCutByAMove(t *testing.T) {
	for _, c := range []struct {
		held models.Layers
		cuts int
	}{{models.Layers{First: 0, End: 4}, 0}, {models.Layers{First: 4, End: 8}, 1}} {
		engines := newFakeServers()
		term, clock := newTestTerm(t, engines)
		servers := []*backend.Server{server(1, "fast", c.held), server(2, "fast", c.held)}
		engines.holds[servers[0].Addr()], engines.holds[servers[1].Addr()] = c.held, c.held
		for elapsed := time.Duration(0); elapsed < replacementWait; elapsed += roundPeriod {
			term.place(t.Context(), smallEngine(), servers)
			clock.Advance(roundPeriod)
		}
		require.Len(t, engines.placed, 1, "one of them moves")
		require.Equal(t, c.cuts, engines.cuts, "orders that cut the streams through a holder of %s", c.held)
	}
}
