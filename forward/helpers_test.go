package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/config"
	"junctioncross/decision"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/quarantine"
	"junctioncross/retry"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// noPublisher is an EndPublisher that writes nothing.
type noPublisher struct{}

// Wake implements EndPublisher.
func (noPublisher) Wake() {}

// testBook returns a book with the default quarantine terms.
func testBook() *quarantine.Book {
	settings := config.DefaultHosted().Quarantine
	return quarantine.NewBook(quarantine.Settings{Ends: settings.Ends, EndsOfOne: settings.EndsOfOne, Keep: settings.Keep, MaxRequests: settings.Most})
}

type oneInstance struct{}

func (oneInstance) Instances() int { return 1 }

// fakeEngineClient is a backend.EngineClient that simulates servers, of which some are dead, and records the repairs and
// queries.
type fakeEngineClient struct {
	mu   sync.Mutex
	dead map[string]bool
	// silent lists servers that answer no query.
	silent map[string]bool
	// hanging lists servers whose calls hang until end is closed, whatever the context says.
	hanging map[string]bool
	end     chan struct{}
	holds   map[string]models.Layers
	// reassigned lists servers that refuse to be on a path, although neither entry nor report shows yet that they hold other
	// layers.
	reassigned map[string]bool
	// forgets lists the requests that their first servers accepted and do not know.
	forgets map[string]bool
	// awaits has the servers that a server waits for, by its address.
	awaits  map[string][]backend.Suspect
	queries map[string]int
	repairs map[string][]call.Stage
}

func newFakeEngineClient(g *backend.Group, dead ...int) *fakeEngineClient {
	e := &fakeEngineClient{dead: map[string]bool{}, silent: map[string]bool{}, holds: map[string]models.Layers{}, queries: map[string]int{}, repairs: map[string][]call.Stage{}}
	for _, s := range g.Servers() {
		e.holds[s.Addr()] = s.Layers()
	}
	for _, i := range dead {
		e.dead[g.Servers()[i].Addr()] = true
	}
	return e
}

// Report implements backend.EngineClient.
func (e *fakeEngineClient) Report(_ context.Context, addr string) (backend.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queries[addr]++
	if e.hanging[addr] {
		e.mu.Unlock()
		<-e.end
		e.mu.Lock()
		return backend.Report{}, backend.ErrNoAnswer
	}
	if e.silent[addr] {
		return backend.Report{}, backend.ErrNoAnswer
	}
	if e.dead[addr] {
		return backend.Report{}, backend.NotListening(errors.New("refused"))
	}
	return backend.Report{Layers: e.holds[addr], Pace: 1, Stalled: e.awaits[addr]}, nil
}

// setSilent makes a server answer no query, or answer again.
func (e *fakeEngineClient) setSilent(s *backend.Server, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent[s.Addr()] = silent
}

// setDead makes nothing listen at a server's address any more.
func (e *fakeEngineClient) setDead(s *backend.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead[s.Addr()] = true
}

// Place implements backend.EngineClient.
func (*fakeEngineClient) Place(context.Context, string, string, backend.PlaceOrder) error { return nil }

// Repair implements backend.EngineClient.
func (e *fakeEngineClient) Repair(_ context.Context, _, requestID string, path []call.Stage) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.forgets[requestID] {
		return backend.ErrUnknownRequest
	}
	for _, p := range path {
		if e.reassigned[p.Addr] {
			return &backend.RepairError{Addr: p.Addr}
		}
	}
	e.repairs[requestID] = path
	return nil
}

func testHandler(t *testing.T, engines backend.EngineClient) (*Handler, *clockwork.FakeClock) {
	return testHandlerWith(t, engines, backend.DirectDialer{})
}

// testHandlerWith is testHandler with another dialer.
func testHandlerWith(t *testing.T, engines backend.EngineClient, dialer backend.Dialer) (*Handler, *clockwork.FakeClock) {
	fake := clockwork.NewFakeClock()
	clock, stats := timer.New(fake), metrics.New()
	log := testlog.New(t)
	h := New(t.Context(), Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 100}, DrainTime: 3 * time.Second}, follow.NewFleetView(), nil, engines, dialer, clock, stats,
		decision.NewRecorder(log, clock, stats), oneInstance{}, testBook(), noPublisher{}, nil)
	return withFullRetryBudget(h), fake
}

// withFullRetryBudget returns the handler as that of a process which started long enough ago for its retry budget to be full.
func withFullRetryBudget(h *Handler) *Handler {
	limit := h.settings.Load().Repeats
	h.budget = retry.NewBudget(limit, h.clock.Now().Add(-limit.Window))
	return h
}

// applyReport applies a report, or the error of a query, as of a query that takes no time.
func (h *Handler) applyReport(server *backend.Server, report backend.Report, err error, why string) {
	h.applyAnswer(stateQuery{server: server, sentAt: h.clock.Now(), why: why}, report, err)
}

// idleInstance is the load of an instance that takes all connections.
type idleInstance struct{}

func (idleInstance) TakeConnection() bool { return true }
func (idleInstance) KeepConnection() bool { return true }
func (idleInstance) NoteSent(int)         {}
