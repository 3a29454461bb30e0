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
	// watchPeriod is how often streams are looked at; a part of the shortest pause that counts as standing still.
	watchPeriod = 25 * time.Millisecond
	// stillShare is the part of the pause that callers accept after which a stream may stand still: the rest is what a
	// repair takes. leastStill is several times the usual time between events.
	stillShare = 0.55
	leastStill = 90 * time.Millisecond
	// firstStill is how much longer than predicted the first event may take.
	firstStill = 200 * time.Millisecond
	// lookAgain is how long after a look at a path the next one may follow: reports are as old as that.
	lookAgain = 250 * time.Millisecond
	// repairTime bounds a repair.
	repairTime = 400 * time.Millisecond
	// mostRepairs bounds the repairs of one stream.
	mostRepairs = 6
	// suspectTime is how long a server that does not answer gets no new work, if its entry does not vanish before.
	suspectTime = 3 * time.Second
)

// watcher looks for streams that stand still and finds out why.
type watcher struct {
	handler *Handler
	start   time.Time

	mu      sync.Mutex
	streams map[*inflight]struct{}
	// looked holds when the paths that start at a server were last looked at.
	looked map[*backend.Server]time.Time
}

func newWatcher(ctx context.Context, h *Handler) *watcher {
	w := &watcher{handler: h, start: h.clock.Now(), streams: map[*inflight]struct{}{}, looked: map[*backend.Server]time.Time{}}
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

func (w *watcher) add(f *inflight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams[f] = struct{}{}
}

func (w *watcher) remove(f *inflight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.streams, f)
}

// still reports whether the stream has not moved for longer than it should.
func (w *watcher) still(f *inflight) bool {
	limit := max(time.Duration(stillShare*float64(f.r.route.PauseObjective)), leastStill)
	if !f.moved.Load() {
		limit = firstStill + f.expected
	}
	return f.pause(w.handler) > limit
}

// scan starts a look at each first part that has streams which stand still.
func (w *watcher) scan(ctx context.Context) {
	now := w.handler.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	still := map[*backend.Server][]*inflight{}
	for f := range w.streams {
		if w.still(f) {
			still[f.first] = append(still[f.first], f)
		}
	}
	for first, streams := range still {
		if now.Sub(w.looked[first]) < lookAgain {
			continue
		}
		w.looked[first] = now
		go func() { w.look(ctx, first, streams) }()
	}
	for first, at := range w.looked {
		if now.Sub(at) > suspectTime {
			delete(w.looked, first)
		}
	}
}

// look asks the parts of streams that stand still how they are, and repairs the paths that pass one that does not answer.
func (w *watcher) look(ctx context.Context, first *backend.Server, streams []*inflight) {
	h := w.handler
	h.stats.Counter("looks_total").Inc(1)
	group := h.board.Current().Group(first.Service())
	if group == nil {
		return
	}
	found := w.ask(ctx, first, group, partsOf(streams))
	if found.dead[first] {
		w.lose(first, streams)
		return
	}
	for _, f := range w.onward(first, streams) {
		if found.broken(f) {
			w.repair(ctx, f, group)
		}
	}
}

// partsOf returns the servers that the streams pass.
func partsOf(streams []*inflight) map[*backend.Server]bool {
	out := map[*backend.Server]bool{}
	for _, f := range streams {
		f.mu.Lock()
		for _, s := range f.servers {
			out[s] = true
		}
		f.mu.Unlock()
	}
	return out
}

// onward returns those of the streams that still start at first: a stream may have been resumed elsewhere meanwhile.
func (w *watcher) onward(first *backend.Server, streams []*inflight) []*inflight {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*inflight
	for _, f := range streams {
		if w.startsAt(f, first) {
			out = append(out, f)
		}
	}
	return out
}

// lose gives up a first part that does not answer: its streams are resumed at others.
func (w *watcher) lose(first *backend.Server, streams []*inflight) {
	h := w.handler
	h.stats.Counter("first_parts_lost_total").Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range streams {
		if !w.startsAt(f, first) {
			continue
		}
		h.record.Failure(f.r.meta.ID, "first part is silent", decision.Fields{
			"server": first.ID(), "address": first.Addr(), "still_ms": f.pause(h).Milliseconds(),
		})
		// Closing under the lock makes sure that it is still the connection to that server.
		_ = f.conn.Close()
	}
}

// startsAt reports whether a stream is under way at a first part: it may have been resumed elsewhere meanwhile. The caller
// holds the lock.
func (w *watcher) startsAt(f *inflight, first *backend.Server) bool {
	_, flying := w.streams[f]
	return flying && f.first == first
}

// repair gives a stream a new path behind its first part.
func (w *watcher) repair(ctx context.Context, f *inflight, group *backend.Group) {
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
	fields := decision.Fields{"old_path": old, "path": f.describe(), "still_ms": f.pause(h).Milliseconds()}
	if err != nil {
		h.stats.Counter("repairs_failed_total").Inc(1)
		fields["error"] = err.Error()
		w.blame(group, err)
	}
	h.stats.Retried(models.RetryTimeout)
	h.record.Failure(f.r.meta.ID, "repaired", fields)
}

// newHops returns the first part and a new path behind it.
func (w *watcher) newHops(f *inflight, group *backend.Group, first chain.Hop, server *backend.Server) ([]chain.Hop, bool) {
	first.Server = slices.Index(group.Servers(), server)
	if first.Server < 0 {
		return nil, false
	}
	state := w.handler.chainState(group, w.handler.clock.Now())
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
