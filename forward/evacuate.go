package forward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/models"
)

const (
	// evacuationTime is how long after a server was heard to leave the streams have left it that outlast it: less than the shortest
	// notice that servers give, two seconds. They go at an even pace, since each of them has to be read anew by others.
	evacuationTime = 1600 * time.Millisecond
	// propagationTime is how old the news that a server leaves may be when an instance hears of it through another one.
	propagationTime = 400 * time.Millisecond
	// minTimeLeft keeps the pace bounded for streams that found no other path in that time.
	minTimeLeft = 200 * time.Millisecond
	// minPace is the least number of streams that leave a server in a second, so that the last few do not linger.
	minPace = 20.0
	// maxBacklogRounds bounds what has gathered while there was no other path, in rounds: those that leave together are read together.
	maxBacklogRounds = 4
	// mostTries bounds the streams that one round looks for another path for, since each look searches all servers.
	mostTries = 16
)

// departures holds for each server that leaves how many streams should have left it by now and have not.
type departures map[*backend.Server]float64

// evacuate lets streams go on without the servers that leave, or that give up layers, while these still work: a part that is replaced
// stands still only for the reading, while one whose server has ended stands still until that is found, together with all others that
// passed it. Streams that end before the server does stay.
func (w *watcher) evacuate(ctx context.Context, backlog departures, groupOf func(service string) *backend.Group) {
	byServer := w.leaving()
	for s := range backlog {
		if len(byServer[s]) == 0 {
			delete(backlog, s)
		}
	}
	tries := 0
	for s, streams := range byServer {
		group := groupOf(s.Service())
		if group == nil {
			continue
		}
		pace := w.pace(s, len(streams))
		backlog[s] = min(backlog[s]+pace, max(maxBacklogRounds*pace, 1))
		for _, f := range streams {
			if backlog[s] < 1 || tries == mostTries {
				break
			}
			tries++
			if w.leaveStages(ctx, f, group) {
				backlog[s]--
				f.failedMoves.Store(0)
			} else {
				f.failedMoves.Add(1)
			}
		}
	}
}

// pace returns how many of so many streams should leave a server in one round. One that has outlasted the shortest notice goes on until
// its drain is over.
func (w *watcher) pace(s *backend.Server, streams int) float64 {
	since := s.LeavingFor(w.handler.clock.Now())
	left := evacuationTime - since
	if left < 0 {
		left = w.handler.terms.Load().DrainTime - minTimeLeft - since
	}
	return max(float64(streams)/max(left, minTimeLeft).Seconds(), minPace) * watchPeriod.Seconds()
}

// leaving returns the streams that have to leave a server, by the one that they pass and that has been leaving for longest; those that
// would last longest come first, after those that were looked at less often in vain.
func (w *watcher) leaving() map[*backend.Server][]*inflight {
	h := w.handler
	out := map[*backend.Server][]*inflight{}
	for _, f := range w.active() {
		if s := h.partToLeave(f); s != nil {
			out[s] = append(out[s], f)
		}
	}
	for _, streams := range out {
		h.sortByPriority(streams)
	}
	return out
}

// sortByPriority puts the streams that would last longest first, after those that were looked at less often in vain.
func (h *Handler) sortByPriority(streams []*inflight) {
	type need struct {
		vain int64
		left time.Duration
	}
	needs := make(map[*inflight]need, len(streams))
	for _, f := range streams {
		needs[f] = need{vain: f.failedMoves.Load(), left: f.left(h)}
	}
	slices.SortFunc(streams, func(a, b *inflight) int {
		return cmp.Or(cmp.Compare(needs[a].vain, needs[b].vain), cmp.Compare(needs[b].left, needs[a].left))
	})
}

// partToLeave returns the server of a stream's path that has been leaving for longest of those that will not last as long as the stream,
// or nil. Streams that have not moved yet stay: they are being read.
func (h *Handler) partToLeave(f *inflight) *backend.Server {
	if !f.moved.Load() {
		return nil
	}
	var out *backend.Server
	longest := time.Duration(-1)
	now := h.clock.Now()
	c := f.course()
	for i, s := range c.servers {
		if !h.outlasts(f, s, c.hops[i].Layers) {
			continue
		}
		if since := s.LeavingFor(now); since > longest {
			out, longest = s, since
		}
	}
	return out
}

// outlasts reports whether a stream is expected to need a part of its path for longer than that server runs it.
func (h *Handler) outlasts(f *inflight, s *backend.Server, part models.Layers) bool {
	if s.Departs() {
		return f.left(h) > h.terms.Load().DrainTime-propagationTime-s.LeavingFor(h.clock.Now())
	}
	return droppedStage(s, part)
}

// passesLeaving reports whether a part of the stream's path behind the first leaves.
func (f *inflight) passesLeaving() bool {
	for i, s := range f.course().servers {
		if i > 0 && s.Leaving() {
			return true
		}
	}
	return false
}

// droppedStage reports whether a server no longer holds a part, as far as its entry tells.
func droppedStage(s *backend.Server, part models.Layers) bool {
	return !s.Layers().Holds(part)
}

// leaveStages lets a stream go on without the parts that will not last as long as it does, and reports whether it can.
func (w *watcher) leaveStages(ctx context.Context, f *inflight, group *backend.Group) bool {
	c := f.course()
	if len(c.servers) == 0 {
		return false
	}
	if first := c.servers[0]; w.handler.outlasts(f, first, c.hops[0].Layers) && w.handOver(f, first, group, "handed over") {
		return true
	}
	return w.evacuateOne(ctx, f, group)
}

// evacuateOne starts to give a stream a path with others in place of the parts behind the first that leave, and reports whether there
// is one.
func (w *watcher) evacuateOne(ctx context.Context, f *inflight, group *backend.Group) bool {
	old := f.course()
	next, ok := w.withoutLeaving(f, group, old)
	if !ok || slices.Equal(old.servers, next.servers) || !f.startRepair() {
		return false
	}
	go func() {
		defer f.endRepair()
		// A failure is logged; a later round tries again.
		_ = w.reroute(ctx, f, old, next, "evacuated")
	}()
	return true
}

// withoutLeaving returns a path with others in place of the servers that leave, if they have the memory and the path does not cross
// domains more often than before: a link between domains takes few such streams a second, and all that cross it stand still
// meanwhile. The server that starts in a release holds the part before the old one ends.
func (w *watcher) withoutLeaving(f *inflight, group *backend.Group, old resolvedPath) (resolvedPath, bool) {
	h := w.handler
	oldHops := groupHops(group, old)
	if len(oldHops) == 0 {
		return resolvedPath{}, false
	}
	r := f.repairRequest(oldHops, func(i int) bool { return old.servers[i].Departs() || droppedStage(old.servers[i], oldHops[i].Layers) })
	hops, ok := chain.Mend(group.Graph(), h.chainState(group, h.clock.Now()), r)
	if !ok {
		return resolvedPath{}, false
	}
	next := old.resolveHops(group, hops)
	return next, next.crossings() <= old.crossings()
}

// crossings returns how often a path passes from one domain to another.
func (c resolvedPath) crossings() int {
	n := 0
	for i := 1; i < len(c.servers); i++ {
		if c.servers[i].Domain() != c.servers[i-1].Domain() {
			n++
		}
	}
	return n
}
