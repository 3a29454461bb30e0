package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
)

const (
	// watchPeriod is how often streams are looked at; a part of the shortest time that counts as standing still.
	watchPeriod = 50 * time.Millisecond
	// stillAfter is the pause after which a stream may stand still: several times the usual pause between events.
	stillAfter = 250 * time.Millisecond
	// lookAgain is how long after a look the next one may follow: reports are as old as that.
	lookAgain = 200 * time.Millisecond
	// lookTime bounds the question to a path's first part.
	lookTime = 300 * time.Millisecond
	// repairTime bounds a repair.
	repairTime = 400 * time.Millisecond
	// mostRepairs bounds the repairs of one stream.
	mostRepairs = 6
	// suspectTime is how long a server that stands still gets no new work, if its entry does not vanish before.
	suspectTime = 3 * time.Second
)

// watcher looks for streams that stand still and finds out why.
type watcher struct {
	handler *Handler
	start   time.Time

	mu      sync.Mutex
	flights map[*flight]struct{}
	// looking holds the first parts that are being asked.
	looking map[*backend.Server]bool
}

func newWatcher(ctx context.Context, h *Handler) *watcher {
	w := &watcher{handler: h, start: h.clock.Now(), flights: map[*flight]struct{}{}, looking: map[*backend.Server]bool{}}
	ticks := h.clock.Subscribe(watchPeriod)
	go func() {
		defer ticks.Stop()
		for {
			select {
			case <-ticks.C():
				w.scan(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

func (w *watcher) add(f *flight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flights[f] = struct{}{}
}

func (w *watcher) remove(f *flight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.flights, f)
}

// still reports whether the flight has not moved for longer than it should.
func (w *watcher) still(f *flight, now time.Time) bool {
	limit := stillAfter
	if !f.began.Load() {
		limit += f.expected
	}
	return now.Sub(w.start)-time.Duration(f.lastAt.Load()) > limit
}

// scan starts a look at each first part that has streams which stand still.
func (w *watcher) scan(ctx context.Context) {
	now := w.handler.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	still := map[*backend.Server][]*flight{}
	for f := range w.flights {
		if w.still(f, now) && now.Sub(f.looked) >= lookAgain {
			still[f.first] = append(still[f.first], f)
		}
	}
	for first, flights := range still {
		if w.looking[first] {
			continue
		}
		w.looking[first] = true
		for _, f := range flights {
			f.looked = now
		}
		go func() {
			w.look(ctx, first, flights)
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.looking, first)
		}()
	}
}

// look asks a first part what its streams wait for and repairs their paths.
func (w *watcher) look(ctx context.Context, first *backend.Server, flights []*flight) {
	h := w.handler
	h.stats.Counter("looks_total").Inc(1)
	ask, cancel := context.WithTimeout(ctx, lookTime)
	report, err := h.caller.Report(ask, first.Addr())
	cancel()
	if err != nil {
		w.lose(first, flights, err)
		return
	}
	group := h.board.Current().Group(first.Service())
	if group == nil {
		return
	}
	until := h.clock.Now().Add(suspectTime)
	for _, s := range report.Stalled {
		if server := group.ByAddr(s.Addr); server != nil && (s.ID == "" || s.ID == server.ID()) {
			server.SetAside(until)
		}
	}
	first.SetPace(report.Pace, h.clock.Now())
	for _, f := range flights {
		if w.stalledBy(f, report.Stalled) {
			w.repair(ctx, f, group)
			continue
		}
		w.inquire(f)
	}
}

// inquire asks the parts behind the first why a stream is slow.
func (w *watcher) inquire(f *flight) {
	f.mu.Lock()
	servers := slices.Clone(f.servers)
	f.mu.Unlock()
	for _, s := range servers[min(1, len(servers)):] {
		w.handler.inquire(s, "slow stream")
	}
}

// lose gives up a first part that does not answer: its streams are resumed at others.
func (w *watcher) lose(first *backend.Server, flights []*flight, err error) {
	h := w.handler
	first.SetAside(h.clock.Now().Add(suspectTime))
	h.stats.Counter("first_parts_lost_total").Inc(1)
	for _, f := range flights {
		h.record.Failure(f.r.meta.ID, "first part is silent", decision.Fields{
			"server": first.ID(), "address": first.Addr(), "error": err.Error(), "still_ms": w.stillFor(f).Milliseconds(),
		})
		_ = f.conn.Close()
	}
}

func (w *watcher) stillFor(f *flight) time.Duration {
	return w.handler.clock.Since(w.start) - time.Duration(f.lastAt.Load())
}

// stalledBy reports whether the flight's path passes a server that stands still, is leaving or is gone.
func (w *watcher) stalledBy(f *flight, stalled []backend.Suspect) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range f.servers {
		if server.Gone() {
			return true
		}
		for _, s := range stalled {
			if s.Addr == server.Addr() {
				return true
			}
		}
	}
	return false
}

// repair gives a stream a new path behind its first part.
func (w *watcher) repair(ctx context.Context, f *flight, group *backend.Group) {
	h := w.handler
	f.mu.Lock()
	if len(f.hops) == 0 || f.repairs >= mostRepairs {
		f.mu.Unlock()
		return
	}
	f.repairs++
	first, server := f.hops[0], f.servers[0]
	f.mu.Unlock()
	hops, ok := w.newHops(f, group, first, server)
	if !ok {
		h.record.Failure(f.r.meta.ID, "no path for a repair", decision.Fields{"path": f.describe()})
		return
	}
	old := f.describe()
	f.assign(group, hops)
	ask, cancel := context.WithTimeout(ctx, repairTime)
	err := h.caller.Repair(ask, server.Addr(), f.r.meta.ID, f.parts())
	cancel()
	h.stats.Counter("repairs_total").Inc(1)
	fields := decision.Fields{"old_path": old, "path": f.describe(), "still_ms": w.stillFor(f).Milliseconds()}
	if err != nil {
		h.stats.Counter("repairs_failed_total").Inc(1)
		fields["error"] = err.Error()
		w.blame(group, err)
	}
	h.stats.Retried(models.RetryTimeout)
	h.record.Failure(f.r.meta.ID, "repaired", fields)
}

// newHops returns the first part and a new path behind it.
func (w *watcher) newHops(f *flight, group *backend.Group, first chain.Hop, server *backend.Server) ([]chain.Hop, bool) {
	index := -1
	for i, s := range group.Servers() {
		if s == server {
			index = i
		}
	}
	if index < 0 {
		return nil, false
	}
	first.Server = index
	h := w.handler
	state := &chainState{servers: group.Servers(), engine: group.Graph().Engine(), now: h.clock.Now(), factor: h.peersFactor()}
	path, ok := chain.Extend(group.Graph(), state, f.need, first)
	if !ok {
		state.regardless = true
		path, ok = chain.Extend(group.Graph(), state, f.need, first)
	}
	return append([]chain.Hop{first}, path.Hops...), ok
}

// blame keeps new work away from the server that a repair failed for.
func (w *watcher) blame(group *backend.Group, err error) {
	var refused *backend.RepairError
	if !errors.As(err, &refused) {
		return
	}
	if server := group.ByAddr(refused.Addr); server != nil {
		server.WasFull(w.handler.clock.Now())
	}
}
