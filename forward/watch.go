package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/loglimit"
)

const (
	// watchPeriod is how often streams are checked: a fraction of the shortest pause that counts as a stall.
	watchPeriod = 25 * time.Millisecond
	// stallShare is the share of the pause that callers accept after which a stream counts as stalled: the rest is what a
	// repair takes. minStall is the lower bound of that time, several times the usual time between events.
	stallShare = 0.55
	minStall   = 90 * time.Millisecond
	// firstEventSlack is how much later than predicted the first event may come before the stream counts as stalled.
	firstEventSlack = 200 * time.Millisecond
	// diagnosePeriod is the least time between two diagnoses of the paths that start at one server. A server's report is
	// about that old, so that an earlier diagnosis would find nothing new.
	diagnosePeriod = 250 * time.Millisecond
	// urgentPeriod is that time for streams that have been still for longer than slow but living servers explain.
	urgentPeriod = 100 * time.Millisecond
	// maxLeavingTries bounds the streams for which one scan searches for another path.
	maxLeavingTries = 16
	// crowdedAge is the greatest age of a server's report at which the requests that it names as waiting count as still
	// waiting: requests wait on a server for some hundred milliseconds.
	crowdedAge = time.Second
	// suspectTime is how long a server that does not answer gets no new work, unless its entry vanishes before.
	suspectTime = 3 * time.Second
)

// watcher finds stalled streams and the servers that stall them. It repairs their paths or has them resumed on others, and
// moves streams off servers that leave.
type watcher struct {
	handler *Handler
	start   time.Time

	mu      sync.Mutex
	streams map[*inflight]struct{}
	// lastDiagnosed holds when the paths that start at a server were last diagnosed.
	lastDiagnosed map[*backend.Server]time.Time

	// manyPathsLost is true while many servers are reached through other instances only.
	manyPathsLost atomic.Bool

	plan  *queryPlan
	quota *queryQuota
	// findingLog limits the rate of the log lines about findings of other instances, by line and server.
	findingLog loglimit.Limiter
}

func newWatcher(ctx context.Context, h *Handler) *watcher {
	w := &watcher{
		handler: h, start: h.clock.Now(), streams: map[*inflight]struct{}{}, lastDiagnosed: map[*backend.Server]time.Time{},
		plan: newQueryPlan(), quota: newQueryQuota(h.clock.Now()),
	}
	h.fleetView.ObserveFindings(w.observeFinding)
	h.fleetView.ObserveReportFaults(w.observeReportFault)
	ticks := h.clock.Subscribe(watchPeriod)
	backlog := evacuationBacklog{}
	go func() {
		h.guard.OnTicks(
			ctx, partName, ticks, func() { w.scan(ctx) }, func() { h.querySilentServers(h.clock.Now()) },
			func() { w.refuteFindings(h.clock.Now()) }, func() { w.evacuate(ctx, backlog, w.groupOf) },
		)
	}()
	return w
}

// groupOf returns the present servers of the service of a stream under way, whether it is still configured or not. It is nil before the
// first configuration.
func (w *watcher) groupOf(f *inflight) *backend.Group {
	chosenFrom, now := f.pathGroup(), w.handler.fleetView.Current()
	if chosenFrom == nil || now.Catalog() == nil {
		return nil
	}
	return now.GroupLike(chosenFrom)
}

// groupFor returns a group in which a stream can go on: the given one if its servers run what the stream runs, and otherwise the present
// servers of the service as it was when the stream's path was chosen.
func (w *watcher) groupFor(f *inflight, group *backend.Group) *backend.Group {
	own := f.pathGroup()
	if own == nil || own.Service().RunsLike(group.Service()) {
		return group
	}
	if present := w.groupOf(f); present != nil {
		return present
	}
	return own
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

// stalled reports whether the stream is stalled: without progress for longer than it should be.
func (w *watcher) stalled(f *inflight) bool { return w.overdue(f) > 0 }

// stallLimit returns how long a stream that has begun may be without progress before it counts as stalled.
func stallLimit(f *inflight) time.Duration {
	return max(time.Duration(stallShare*float64(f.r.route.PauseObjective)), minStall)
}

// overdue returns for how long the stream has been stalled; it is 0 or less if it is not. What this instance itself is late does not count.
func (w *watcher) overdue(f *inflight) time.Duration {
	limit := stallLimit(f)
	if !f.progressed.Load() {
		limit = firstEventSlack + time.Duration(f.firstEventDue.Load())
	}
	return f.pause(w.handler) - w.handler.clock.Patience(limit)
}

// scan has stalled streams leave runs that cannot go on, and starts a diagnosis for each first server that has other stalled streams.
func (w *watcher) scan(ctx context.Context) {
	stuck, byFirst := w.stalledStreams()
	for _, s := range stuck {
		w.leaveRun(s.stream, s.first, w.groupOf(s.stream), s.why)
	}
	now := w.handler.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for first, streams := range byFirst {
		if !w.dueForDiagnosis(now.Sub(w.lastDiagnosed[first]), streams, now) {
			continue
		}
		group := w.groupOf(streams[0])
		if group == nil {
			continue
		}
		w.lastDiagnosed[first] = now
		go func() { w.handler.guarded(first, func() { w.diagnose(ctx, first, group, streams) }) }()
	}
	for first, at := range w.lastDiagnosed {
		if now.Sub(at) > suspectTime {
			delete(w.lastDiagnosed, first)
		}
	}
}

// stuckStream is a stream under way whose run cannot go on, with its first server.
type stuckStream struct {
	stream *inflight
	first  *backend.Server
	why    runEnd
}

// stalledStreams returns some of the streams whose runs cannot go on, and all stalled streams of engines by their first server.
func (w *watcher) stalledStreams() (stuck []stuckStream, byFirst map[*backend.Server][]*inflight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	byFirst = map[*backend.Server][]*inflight{}
	for f := range w.streams {
		if !w.stalled(f) {
			continue
		}
		if !f.plain {
			byFirst[f.first] = append(byFirst[f.first], f)
		}
		if why, ok := w.stuck(f); ok && len(stuck) < maxLeavingTries {
			stuck = append(stuck, stuckStream{stream: f, first: f.first, why: why})
		}
	}
	return stuck, byFirst
}

// stuck returns why the run of a stalled stream cannot go on, if that is known without a query and the stream may leave it. A path that opens no new connections may
// still carry streams that make progress. The caller holds the lock.
func (w *watcher) stuck(f *inflight) (runEnd, bool) {
	switch {
	case f.begun.Load() && !f.r.route.MayRetry():
		return "", false
	case w.handler.onLostPath(f):
		return endLostPath, true
	case w.getsEndlessBytes(f):
		return endEndless, true
	case f.plain && w.plainIsSilent(f), !f.plain && w.atSilentServer(f):
		return endSilent, true
	default:
		return "", false
	}
}

// atSilentServer reports whether the first server of a stalled stream has left a query unanswered that was sent since the stream last made
// progress. The caller holds the lock.
func (w *watcher) atSilentServer(f *inflight) bool {
	q, lastProgress := f.first.QueryState(), w.start.Add(time.Duration(f.lastAt.Load()))
	return f.first.IsSilent() && q.QueriedAt.After(lastProgress) && q.ReportedAt.After(lastProgress)
}

// diagnose queries the servers that may have stalled some streams. The findings are applied to all streams of the service: those
// that use a dead server get a new path although they have not been stalled for long themselves.
func (w *watcher) diagnose(ctx context.Context, first *backend.Server, group *backend.Group, streams []*inflight) {
	w.handler.stats.Counter("looks_total").Inc(1)
	found := w.queryServers(ctx, first, group, w.suspects(first, streams))
	for _, s := range found.deadServers() {
		w.moveStalledStreams(s, group)
	}
	var all sync.WaitGroup
	for _, f := range w.active() {
		if !f.uses(first.Service()) {
			continue
		}
		if found.broken(f) || w.stalled(f) && f.hasLeavingStage() {
			all.Go(func() { w.handler.guardedFor(f, func() { w.repair(ctx, f, group, found) }) })
		}
	}
	for _, f := range streams {
		if found.broken(f) || first.HasQueue(found.now, crowdedAge) || !w.stalled(f) {
			continue
		}
		if path, ok := f.beginVerify(first); ok {
			all.Go(func() { w.handler.guardedFor(f, func() { w.verify(ctx, f, group, path) }) })
		}
	}
	all.Wait()
}

// verify asks the first server of a path whether it knows a stream whose first event is overdue although all servers are healthy: some
// servers accept requests and forget them. The query is a repair call that names the path which the stream already has; it
// changes nothing at a server that knows the stream. One that was silent may answer before it has read what was sent to it earlier, so it is
// asked twice.
func (w *watcher) verify(ctx context.Context, f *inflight, group *backend.Group, path resolvedPath) {
	h := w.handler
	repairCtx, cancel := context.WithTimeout(ctx, h.clock.Patience(repairTimeout))
	defer cancel()
	err := h.engines.Repair(repairCtx, path.servers[0].Addr(), f.r.meta.ID, path.stages())
	if errors.Is(err, backend.ErrUnknownRequest) && f.noteUnknown(h.clock.Now()) {
		h.stats.Counter("requests_forgotten_total").Inc(1)
		w.leaveRun(f, path.servers[0], group, endForgotten)
	}
}

// count returns the number of streams of engines under way.
func (w *watcher) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for f := range w.streams {
		if !f.plain {
			n++
		}
	}
	return n
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
