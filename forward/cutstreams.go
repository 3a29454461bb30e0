package forward

import (
	"slices"

	"junctioncross/backend"
)

// startingAt returns the streams under way whose first server is the given one.
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

// moveStalledStreams has the stalled streams of a first server that does not answer resumed elsewhere, if other servers may run them. The
// server may still make progress with them, even if it accepts no connections any more, so that streams that have begun stay with it
// until there is another path.
func (w *watcher) moveStalledStreams(first *backend.Server, group *backend.Group) {
	streams := slices.DeleteFunc(w.startingAt(first), func(f *inflight) bool { return !w.stalled(f) || !f.r.route.MayRetry() })
	if !first.Ended() {
		for _, f := range streams {
			w.handOver(f, first, group, endSilent)
		}
		return
	}
	w.handler.stats.Counter("first_parts_lost_total").Inc(1)
	for _, f := range streams {
		w.leaveRun(f, first, group, endNotListening)
	}
}

// startsAt reports whether a stream is under way and still has the given first server: it may have been resumed elsewhere
// meanwhile. The caller holds the lock.
func (w *watcher) startsAt(f *inflight, first *backend.Server) bool {
	_, active := w.streams[f]
	return active && f.first == first
}
