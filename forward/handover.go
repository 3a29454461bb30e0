package forward

import (
	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
)

// placed is a path that was chosen for a stream from a group of servers.
type placed struct {
	group *backend.Group
	path  chain.Path
	// load is the part of the lane's memory that was thought to be taken.
	load float64
}

// handOver lets a stream go on at another first part, after the last event that was passed on. It does so only when there is a path for
// it and the request may run there, so that nothing is lost by leaving. Only a server that does not answer is left for a path that
// crosses domains more often.
func (w *watcher) handOver(f *inflight, first *backend.Server, group *backend.Group, text string) bool {
	h := w.handler
	if !f.r.route.MayRepeat() || !h.mayRunAgain(f, first) {
		return false
	}
	next, ok := h.placeIn(f, group)
	if !ok || !first.Suspected(h.clock.Now()) && resolvePath(group, next.path.Hops).crossings() > f.course().crossings() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.startsAt(f, first) || !h.takeRepeat(f.r) {
		return false
	}
	f.next.Store(&next)
	h.stats.Counter("streams_handed_over_total").Inc(1)
	h.record.Failure(f.r.meta.ID, text, decision.Fields{
		"server": first.ID(), "address": first.Addr(), "still_ms": f.pause(h).Milliseconds(), "gone": first.Gone(),
		"leaving_ms": first.LeavingFor(h.clock.Now()).Milliseconds(), "expected_left_ms": f.left(h).Milliseconds(),
		"next": group.Servers()[next.path.Hops[0].Server].ID(),
	})
	// Closing under the lock makes sure that it is still the connection to that server.
	_ = f.conn.Close()
	return true
}

// mayRunAgain reports whether a stream may run on one more server while the present first part still stands. Servers that have had the time
// to leave are asked whether they have ended.
func (h *Handler) mayRunAgain(f *inflight, first *backend.Server) bool {
	now, drain := h.clock.Now(), h.terms.Load().DrainTime
	others := 0
	for _, s := range activeServers(f.earlier()) {
		if s == first {
			continue
		}
		others++
		if s.LeavingFor(now) > drain {
			h.question(s, "former run")
		}
	}
	return 1+others < f.r.route.MaxAttempts
}

// earlier returns the servers that ran the stream before the present one.
func (f *inflight) earlier() []*backend.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.earlierServers
}

// takeNext returns the path on which a stream that was handed over goes on, or nil.
func (f *inflight) takeNext() *placed { return f.next.Swap(nil) }

// handedOverFrom ends an attempt whose stream goes on elsewhere. A server that neither leaves nor gives up its part was given up since
// it is silent.
func (h *Handler) handedOverFrom(f *inflight, part models.Layers) outcome {
	f.r.ranOn(f.first)
	if f.first.Leaving() || droppedStage(f.first, part) {
		f.first.Settled()
	} else {
		h.noteBreak(f.first)
		h.suspectEnd(f.r, f.first, f.ran(h))
	}
	return handedOver{}
}
