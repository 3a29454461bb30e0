package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/models"
)

const (
	// quickAnswer is how long the first question to a part may take: many times what one takes in the same building.
	quickAnswer = 50 * time.Millisecond
	// sureAnswer is how long the second question may take, which is asked so that one lost packet does not make a sound
	// server look dead.
	sureAnswer = 60 * time.Millisecond
)

// findings is what a look at some servers found.
type findings struct {
	mu   sync.Mutex
	dead map[*backend.Server]bool
	// holds tells the layers of the servers that answered.
	holds map[*backend.Server]models.Layers
}

// ask asks servers how they are, all at once. Those that refuse the connection, stay silent twice, or are named by the
// first part as what it waits for, are dead.
func (w *watcher) ask(ctx context.Context, first *backend.Server, group *backend.Group, servers map[*backend.Server]bool) *findings {
	found := &findings{dead: map[*backend.Server]bool{}, holds: map[*backend.Server]models.Layers{}}
	var all sync.WaitGroup
	for s := range servers {
		if s != first && !s.MayAsk(w.handler.clock.Now()) {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			w.askOne(ctx, found, s, group, s == first)
		}()
	}
	all.Wait()
	return found
}

func (w *watcher) askOne(ctx context.Context, found *findings, s *backend.Server, group *backend.Group, first bool) {
	h := w.handler
	report, err := w.question(ctx, s, quickAnswer)
	if errors.Is(err, backend.ErrNoAnswer) && !errors.Is(err, backend.ErrNotThere) {
		report, err = w.question(ctx, s, sureAnswer)
	}
	h.believe(s, report, err, "slow stream")
	if err != nil {
		found.add(s)
		return
	}
	found.mu.Lock()
	found.holds[s] = report.Layers
	found.mu.Unlock()
	if !first {
		return
	}
	for _, suspect := range report.Stalled {
		server := group.ByAddr(suspect.Addr)
		if server != nil && (suspect.ID == "" || suspect.ID == server.ID()) {
			server.Suspect(h.clock.Now().Add(suspectTime))
			found.add(server)
		}
	}
}

func (w *watcher) question(ctx context.Context, s *backend.Server, limit time.Duration) (backend.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w.handler.stats.Counter("inquiries_total{reason=\"slow stream\"}").Inc(1)
	return w.handler.caller.Report(ctx, s.Addr())
}

func (f *findings) add(s *backend.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[s] = true
}

// broken reports whether a path passes a server that is dead or no longer holds its part, or one whose entry has vanished.
func (f *findings) broken(one *inflight) bool {
	one.mu.Lock()
	defer one.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range one.servers {
		part := one.hops[i].Layers
		held, known := f.holds[s]
		if f.dead[s] || s.Gone() || known && (held.First > part.First || held.End < part.End) {
			return true
		}
	}
	return false
}
