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
	// newsAge is how old the news that a server leaves may be when an instance hears of it through another one.
	newsAge = 400 * time.Millisecond
	// leastLeft keeps the pace bounded for streams that found no other path in that time.
	leastLeft = 200 * time.Millisecond
	// leastPace is the least number of streams that leave a server in a second, so that the last few do not linger.
	leastPace = 20.0
	// mostOwed bounds what has gathered while there was no other path, in rounds: those that leave together are read together.
	mostOwed = 4
	// mostTries bounds the streams that one round looks for another path for, since each look searches all servers.
	mostTries = 16
)

// departures holds for each server that leaves how many streams should have left it by now and have not.
type departures map[*backend.Server]float64

// evacuate lets streams go on without the servers that leave, or that give up layers, while these still work: a part that is replaced
// stands still only for the reading, while one whose server has ended stands still until that is found, together with all others that
// passed it. Streams that end before the server does stay.
func (w *watcher) evacuate(ctx context.Context, owed departures, groupOf func(service string) *backend.Group) {
	leaving := w.leaving()
	for s := range owed {
		if len(leaving[s]) == 0 {
			delete(owed, s)
		}
	}
	tries := 0
	for s, streams := range leaving {
		group := groupOf(s.Service())
		if group == nil {
			continue
		}
		pace := w.pace(s, len(streams))
		owed[s] = min(owed[s]+pace, max(mostOwed*pace, 1))
		for _, f := range streams {
			if owed[s] < 1 || tries == mostTries {
				break
			}
			tries++
			if w.leaveParts(ctx, f, group) {
				owed[s]--
				f.vain.Store(0)
			} else {
				f.vain.Add(1)
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
		left = w.handler.terms.Load().DrainTime - leastLeft - since
	}
	return max(float64(streams)/max(left, leastLeft).Seconds(), leastPace) * watchPeriod.Seconds()
}

// leaving returns the streams that have to leave a server, by the one that they pass and that has been leaving for longest; those that
// would last longest come first, after those that were looked at less often in vain.
func (w *watcher) leaving() map[*backend.Server][]*inflight {
	h := w.handler
	out := map[*backend.Server][]*inflight{}
	for _, f := range w.flying() {
		if s := h.partToLeave(f); s != nil {
			out[s] = append(out[s], f)
		}
	}
	for _, streams := range out {
		h.sortByNeed(streams)
	}
	return out
}

// sortByNeed puts the streams that would last longest first, after those that were looked at less often in vain.
func (h *Handler) sortByNeed(streams []*inflight) {
	type need struct {
		vain int64
		left time.Duration
	}
	needs := make(map[*inflight]need, len(streams))
	for _, f := range streams {
		needs[f] = need{vain: f.vain.Load(), left: f.left(h)}
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
		return f.left(h) > h.terms.Load().DrainTime-newsAge-s.LeavingFor(h.clock.Now())
	}
	return givesUp(s, part)
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

// givesUp reports whether a server no longer holds a part, as far as its entry tells.
func givesUp(s *backend.Server, part models.Layers) bool {
	return !s.Layers().Holds(part)
}

// leaveParts lets a stream go on without the parts that will not last as long as it does, and reports whether it can.
func (w *watcher) leaveParts(ctx context.Context, f *inflight, group *backend.Group) bool {
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
	was := f.course()
	now, ok := w.withoutLeaving(f, group, was)
	if !ok || slices.Equal(was.servers, now.servers) || !f.startRepair() {
		return false
	}
	go func() {
		defer f.repaired()
		// A failure is logged; a later round tries again.
		_ = w.reroute(ctx, f, was, now, "evacuated")
	}()
	return true
}

// withoutLeaving returns a path with others in place of the servers that leave, if they have the memory and the path does not cross
// domains more often than before: a link between domains takes few such streams a second, and all that cross it stand still
// meanwhile. The server that starts in a release holds the part before the old one ends.
func (w *watcher) withoutLeaving(f *inflight, group *backend.Group, was course) (course, bool) {
	h := w.handler
	old := indexed(group, was)
	if len(old) == 0 {
		return course{}, false
	}
	r := f.without(old, func(i int) bool { return was.servers[i].Departs() || givesUp(was.servers[i], old[i].Layers) })
	hops, ok := chain.Mend(group.Graph(), h.chainState(group, h.clock.Now()), r)
	if !ok {
		return course{}, false
	}
	now := was.onward(group, hops)
	return now, now.crossings() <= was.crossings()
}

// crossings returns how often a path passes from one domain to another.
func (c course) crossings() int {
	n := 0
	for i := 1; i < len(c.servers); i++ {
		if c.servers[i].Domain() != c.servers[i-1].Domain() {
			n++
		}
	}
	return n
}
