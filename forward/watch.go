package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/decision"
)

const (
	// watchPeriod is how often streams are looked at; a part of the shortest pause that counts as standing still.
	watchPeriod = 25 * time.Millisecond
	// stallShare is the part of the pause that callers accept after which a stream may stand still: the rest is what a
	// repair takes. leastStill is several times the usual time between events.
	stallShare = 0.55
	minStall   = 90 * time.Millisecond
	// firstEventSlack is how much longer than predicted the first event may take.
	firstEventSlack = 200 * time.Millisecond
	// diagnosePeriod is how long after a look at a path the next one may follow: reports are as old as that.
	diagnosePeriod = 250 * time.Millisecond
	// crowdedAge is how old a server's word that requests wait on it may be: they wait for some hundred milliseconds.
	crowdedAge = time.Second
	// suspectTime is how long a server that does not answer gets no new work, if its entry does not vanish before.
	suspectTime = 3 * time.Second
)

// watcher looks for streams that stand still and finds out why.
type watcher struct {
	handler *Handler
	start   time.Time

	mu      sync.Mutex
	streams map[*inflight]struct{}
	// lastDiagnosed holds when the paths that start at a server were last lastDiagnosed at.
	lastDiagnosed map[*backend.Server]time.Time
}

func newWatcher(ctx context.Context, h *Handler) *watcher {
	w := &watcher{handler: h, start: h.clock.Now(), streams: map[*inflight]struct{}{}, lastDiagnosed: map[*backend.Server]time.Time{}}
	ticks := h.clock.Subscribe(watchPeriod)
	go func() {
		defer ticks.Stop()
		backlog := departures{}
		for {
			select {
			case <-ticks.C():
				w.scan(ctx)
				w.evacuate(ctx, backlog, w.group)
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

// group returns the servers that a service has now, nil where there is no such service.
func (w *watcher) group(service string) *backend.Group {
	return w.handler.board.Current().Group(service)
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
	limit := max(time.Duration(stallShare*float64(f.r.route.PauseObjective)), minStall)
	if !f.moved.Load() {
		limit = firstEventSlack + time.Duration(f.expected.Load())
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
		if now.Sub(w.lastDiagnosed[first]) < diagnosePeriod {
			continue
		}
		group := w.group(first.Service())
		if group == nil {
			continue
		}
		w.lastDiagnosed[first] = now
		go func() { w.look(ctx, first, group, streams) }()
	}
	for first, at := range w.lastDiagnosed {
		if now.Sub(at) > suspectTime {
			delete(w.lastDiagnosed, first)
		}
	}
}

// look asks the servers that may hold up streams that stand still how they are. What it finds serves all streams: those that
// pass a dead server get a new path although they have not stood still for long themselves.
func (w *watcher) look(ctx context.Context, first *backend.Server, group *backend.Group, streams []*inflight) {
	w.handler.stats.Counter("looks_total").Inc(1)
	found := w.ask(ctx, first, group, w.suspects(streams))
	for _, s := range found.lost() {
		w.giveUp(s, group)
	}
	var all sync.WaitGroup
	for _, f := range w.active() {
		if !f.uses(first.Service()) {
			continue
		}
		if found.broken(f) || w.still(f) && f.passesLeaving() {
			all.Go(func() { w.repair(ctx, f, group, found) })
		}
	}
	for _, f := range streams {
		if !found.broken(f) && !first.Crowded(found.now, crowdedAge) && f.beginVerify() {
			all.Go(func() { w.verify(ctx, f) })
		}
	}
	all.Wait()
}

// verify finds out whether the first part knows a stream whose first event is overdue, although all parts are well: some
// servers take requests and forget them. Asking for the path that the stream has changes nothing at one that knows it.
func (w *watcher) verify(ctx context.Context, f *inflight) {
	h := w.handler
	c := f.course()
	if len(c.servers) == 0 {
		return
	}
	ask, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	err := h.caller.Repair(ask, c.servers[0].Addr(), f.r.meta.ID, c.stages())
	if errors.Is(err, backend.ErrUnknown) {
		h.stats.Counter("requests_forgotten_total").Inc(1)
		w.cutStreams(c.servers[0], []*inflight{f})
	}
}

// healthyTime is how long ago a server must have moved a stream to be taken as sound. It is less than the time from a death to
// the first look, which is the shortest pause that counts as standing still less the usual time between events.
const healthyTime = 45 * time.Millisecond

// suspects returns the servers that the streams pass, but for those that have just moved other streams.
func (w *watcher) suspects(streams []*inflight) map[*backend.Server]bool {
	lastProgress := map[*backend.Server]int64{}
	for _, f := range w.active() {
		at := f.lastAt.Load()
		if !f.moved.Load() {
			continue
		}
		for _, s := range f.course().servers {
			lastProgress[s] = max(lastProgress[s], at)
		}
	}
	out := map[*backend.Server]bool{}
	limit := int64(w.handler.clock.Since(w.start) - healthyTime)
	for _, f := range streams {
		for _, s := range f.course().servers {
			if lastProgress[s] < limit {
				out[s] = true
			}
		}
	}
	return out
}

// count returns the number of streams under way.
func (w *watcher) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.streams)
}

// active returns the streams under way.
func (w *watcher) active() []*inflight {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*inflight, 0, len(w.streams))
	for f := range w.streams {
		out = append(out, f)
	}
	return out
}

// startingAt returns the streams under way whose first part is a server.
func (w *watcher) startingAt(first *backend.Server) []*inflight {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*inflight
	for f := range w.streams {
		if f.first == first {
			out = append(out, f)
		}
	}
	return out
}

// giveUp lets the streams go on elsewhere that start at a server which does not answer and stand still. Where nothing listens any more
// they are cut at once, unless nobody else may go on with them; a server that is only silent may still move them, so that they stay
// with it until there is another path.
func (w *watcher) giveUp(first *backend.Server, group *backend.Group) {
	streams := slices.DeleteFunc(w.startingAt(first), func(f *inflight) bool { return !w.still(f) || !f.r.route.MayRepeat() })
	if first.Ended() {
		w.cutStreams(first, streams)
		return
	}
	for _, f := range streams {
		w.handOver(f, first, group, "first part is silent")
	}
}

// cutStreams cuts the streams that start at a server which no longer knows them: they are resumed at others.
func (w *watcher) cutStreams(first *backend.Server, streams []*inflight) {
	h := w.handler
	h.stats.Counter("first_parts_lost_total").Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range streams {
		if !w.startsAt(f, first) {
			continue
		}
		h.record.Failure(f.r.meta.ID, "first part is silent", decision.Fields{
			"server": first.ID(), "address": first.Addr(), "still_ms": f.pause(h).Milliseconds(), "gone": first.Gone(),
			"leaving_ms": first.LeavingFor(h.clock.Now()).Milliseconds(),
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
