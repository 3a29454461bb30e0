package forward

import (
	"context"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// evacuationsPerSecond bounds the streams of all instances that leave parts of their paths for others in a second: a slow
	// server reads the tokens of about 180 streams through ten layers in that time, and serves others meanwhile.
	evacuationsPerSecond = 100.0
	// mostEvacuations bounds those that an instance may start at once.
	mostEvacuations = 2.0
	// mostTries bounds the streams that one round looks for another path for.
	mostTries = 4
)

// evacuate lets streams go on without the servers that have said that they leave, a few at a time: a part that is replaced while
// its server still works stands still only for the reading, while one that is replaced after the server's end stands still until
// that is found, together with all others that passed it.
func (w *watcher) evacuate(ctx context.Context) {
	h := w.handler
	w.evacuations += evacuationsPerSecond * watchPeriod.Seconds() / float64(h.census.Instances())
	w.evacuations = min(w.evacuations, mostEvacuations)
	tries := 0
	for _, f := range w.flying() {
		if w.evacuations < 1 || tries == mostTries {
			return
		}
		leaving := f.leavingPart()
		if leaving == nil {
			continue
		}
		tries++
		if group := h.board.Current().Group(leaving.Service()); group != nil && w.evacuateOne(ctx, f, group) {
			w.evacuations--
		}
	}
}

// evacuateOne starts to give a stream a path without the servers that leave, and reports whether there is one.
func (w *watcher) evacuateOne(ctx context.Context, f *inflight, group *backend.Group) bool {
	was := f.course()
	now, ok := w.withoutLeaving(f, group, was)
	if !ok || !f.startRepair() {
		return false
	}
	go func() {
		defer f.repaired()
		// A failure is logged; a later round tries again.
		_ = w.reroute(ctx, f, was, now, "evacuated")
	}()
	return true
}

// leavingPart returns a server of a stream's path, other than the first, that has said that it leaves.
func (f *inflight) leavingPart() *backend.Server {
	if !f.moved.Load() {
		return nil
	}
	for i, s := range f.course().servers {
		if i > 0 && s.Leaving() && !s.Gone() {
			return s
		}
	}
	return nil
}

// withoutLeaving returns a path with others in place of the servers that leave, if they have the memory and the path does not
// cross domains more often than before.
func (w *watcher) withoutLeaving(f *inflight, group *backend.Group, was course) (course, bool) {
	h := w.handler
	old := indexed(group, was)
	if len(old) == 0 {
		return course{}, false
	}
	r := f.without(old, func(i int) bool { return was.servers[i].Leaving() })
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
