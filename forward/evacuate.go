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
	// evacuationTime is how long after a server's leave notice all streams that outlast it have been moved off it: less than
	// the shortest notice that servers give, two seconds. They are moved at an even rate, since other servers have to read
	// the tokens of each one anew.
	evacuationTime = 1600 * time.Millisecond
	// propagationTime is how old a server's leave notice may be when an instance learns of it from another instance.
	propagationTime = 400 * time.Millisecond
	// minTimeLeft is the least time over which the remaining streams are spread; it bounds the rate for those that found no
	// other path in time.
	minTimeLeft = 200 * time.Millisecond
	// minMoveRate is the least number of streams that are moved off a server per second, so that the last few do not linger.
	minMoveRate = 20.0
	// maxBacklogRounds bounds the backlog that gathers while there is no other path, in rounds: streams that are moved
	// together are also read together by their new servers.
	maxBacklogRounds = 4
	// maxEvacuationTries bounds the streams for which one round searches for another path: each search goes through all servers.
	maxEvacuationTries = 16
)

// evacuationBacklog holds, for each server that leaves, how many streams should have been moved off it by now and have not.
type evacuationBacklog map[*backend.Server]float64

// evacuate moves streams off the servers that leave or drop layers while these still work. A stream whose stage is replaced
// is stalled only while the new server reads its tokens; a stream whose server has terminated is stalled until that is
// detected, together with all others that used it. Streams that end before the server does stay.
func (w *watcher) evacuate(ctx context.Context, backlog evacuationBacklog, groupOf func(f *inflight) *backend.Group) {
	byServer := w.leaving()
	for s := range backlog {
		if len(byServer[s]) == 0 {
			delete(backlog, s)
		}
	}
	tries := 0
	for s, streams := range byServer {
		perRound := w.movesPerRound(s, len(streams))
		backlog[s] = min(backlog[s]+perRound, max(maxBacklogRounds*perRound, 1))
		for _, f := range streams {
			if backlog[s] < 1 || tries == maxEvacuationTries {
				break
			}
			group := groupOf(f)
			if group == nil {
				continue
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

// movesPerRound returns how many of the given number of streams should be moved off a server in one round. After
// evacuationTime the remaining streams are spread over the rest of the drain time, since a server that has outlasted the
// shortest notice works until its drain is over.
func (w *watcher) movesPerRound(s *backend.Server, streams int) float64 {
	since := s.LeavingFor(w.handler.clock.Now())
	left := evacuationTime - since
	if left < 0 {
		left = w.handler.settings.Load().DrainTime - minTimeLeft - since
	}
	return max(float64(streams)/max(left, minTimeLeft).Seconds(), minMoveRate) * watchPeriod.Seconds()
}

// leaving returns the streams that have to be moved, by the server of their path that has been leaving for longest, and for
// each server in the order of sortByPriority.
func (w *watcher) leaving() map[*backend.Server][]*inflight {
	h := w.handler
	out := map[*backend.Server][]*inflight{}
	for _, f := range w.active() {
		if s := h.serverToLeave(f); s != nil {
			out[s] = append(out[s], f)
		}
	}
	for _, streams := range out {
		h.sortByPriority(streams)
	}
	return out
}

// sortByPriority sorts streams by their failed moves, fewest first, and among equals by their remaining time, longest first.
func (h *Handler) sortByPriority(streams []*inflight) {
	type priority struct {
		failedMoves int64
		left        time.Duration
	}
	priorities := make(map[*inflight]priority, len(streams))
	for _, f := range streams {
		priorities[f] = priority{failedMoves: f.failedMoves.Load(), left: f.expectedLeft(h)}
	}
	slices.SortFunc(streams, func(a, b *inflight) int {
		return cmp.Or(cmp.Compare(priorities[a].failedMoves, priorities[b].failedMoves), cmp.Compare(priorities[b].left, priorities[a].left))
	})
}

// serverToLeave returns the server that a stream is to be moved off, or nil: of the servers on its path that will not last as
// long as the stream, the one that has been leaving for longest. Streams without an event in the present attempt stay: their
// tokens are being read.
func (h *Handler) serverToLeave(f *inflight) *backend.Server {
	if !f.progressed.Load() {
		return nil
	}
	var out *backend.Server
	longest := time.Duration(-1)
	now := h.clock.Now()
	c := f.path()
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

// outlasts reports whether a stream is expected to need some layers for longer than the server on its path runs them.
func (h *Handler) outlasts(f *inflight, s *backend.Server, layers models.Layers) bool {
	if s.PossiblyLeaving() {
		return f.expectedLeft(h) > h.settings.Load().DrainTime-propagationTime-s.LeavingFor(h.clock.Now())
	}
	return droppedStage(s, layers)
}

// hasLeavingStage reports whether a server of the stream's path, other than the first, is leaving.
func (f *inflight) hasLeavingStage() bool {
	for i, s := range f.path().servers {
		if i > 0 && s.Leaving() {
			return true
		}
	}
	return false
}

// droppedStage reports whether a server no longer holds some layers, according to its entry.
func droppedStage(s *backend.Server, layers models.Layers) bool {
	return layers.Count() > 0 && !s.Layers().Holds(layers)
}

// leaveStages moves a stream off the servers that will not last as long as it does, and reports whether it can.
func (w *watcher) leaveStages(ctx context.Context, f *inflight, group *backend.Group) bool {
	c := f.path()
	if len(c.servers) == 0 {
		return false
	}
	if first := c.servers[0]; w.handler.outlasts(f, first, c.hops[0].Layers) && w.handOver(f, first, group, endLeaving) {
		return true
	}
	return !f.plain && w.evacuateOne(ctx, f, group)
}

// evacuateOne starts to replace the servers behind the first one on a stream's path that leave, and reports whether there is
// such a path.
func (w *watcher) evacuateOne(ctx context.Context, f *inflight, group *backend.Group) bool {
	old := f.path()
	next, ok := w.withoutLeaving(f, group, old)
	if !ok || slices.Equal(old.servers, next.servers) || !f.startRepair() {
		return false
	}
	go func() {
		defer f.endRepair()
		// A failure is logged; a later round tries again.
		w.handler.guardedFor(f, func() { _ = w.reroute(ctx, f, old, next, "evacuated") })
	}()
	return true
}

// withoutLeaving returns a path with other servers in place of those that leave, if the other servers have the memory and the
// path does not cross domains more often than before: a link between domains takes few such streams a second, and all that
// cross it are stalled meanwhile. When a new version is released, a new server is started early enough to hold the layers
// before the old one ends.
func (w *watcher) withoutLeaving(f *inflight, group *backend.Group, old resolvedPath) (resolvedPath, bool) {
	h := w.handler
	oldHops := groupHops(group, old)
	if len(oldHops) == 0 {
		return resolvedPath{}, false
	}
	r := f.repairRequest(oldHops, func(i int) bool {
		return old.servers[i].PossiblyLeaving() || droppedStage(old.servers[i], oldHops[i].Layers)
	})
	hops, ok := chain.RepairPath(group.Graph(), h.chainState(group, h.clock.Now()), r)
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
