package forward

import (
	"slices"

	"junctioncross/backend"
	"junctioncross/decision"
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

// moveStalledStreams has the stalled streams of a first server that does not answer resumed elsewhere, if other servers may
// run them. If nothing listens at its address any more, their connections are closed at once. A server that is only silent
// may still make progress with them, so that they stay with it until there is another path.
func (w *watcher) moveStalledStreams(first *backend.Server, group *backend.Group) {
	streams := slices.DeleteFunc(w.startingAt(first), func(f *inflight) bool { return !w.stalled(f) || !f.r.route.MayRetry() })
	if first.Ended() {
		w.cutStreams(first, streams, endNotListening)
		return
	}
	for _, f := range streams {
		w.handOver(f, first, group, "first part is silent")
	}
}

// cutStreams closes the connections of streams to a first server that no longer knows them, so that they are resumed
// elsewhere.
func (w *watcher) cutStreams(first *backend.Server, streams []*inflight, why runEnd) {
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
		w.closeRun(f, why)
	}
}

// startsAt reports whether a stream is under way and still has the given first server: it may have been resumed elsewhere
// meanwhile. The caller holds the lock.
func (w *watcher) startsAt(f *inflight, first *backend.Server) bool {
	_, active := w.streams[f]
	return active && f.first == first
}
