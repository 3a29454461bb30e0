package forward

import (
	"junctioncross/backend"
	"junctioncross/decision"
)

// runEnd is what ended a run that broke.
type runEnd string

const (
	// endAtServer: the server or the path to it ended the connection.
	endAtServer runEnd = "server"
	// endRestart: the instance closed the connection, since the server has started again.
	endRestart runEnd = "restart"
	// endLeaving: the instance closed it, since the server leaves or drops its layers.
	endLeaving runEnd = "leaving"
	// endSilent: the instance closed it, since the server does not answer.
	endSilent runEnd = "silent"
	// endNotListening: the instance closed it, since nothing listens at the server's address.
	endNotListening runEnd = "not_listening"
	// endForgotten: the instance closed it, since the server does not know the request.
	endForgotten runEnd = "forgotten"
	// endLostPath: the instance closed it, since it reaches the server through another instance only.
	endLostPath runEnd = "lost_path"
	// endEndless: the instance closed it, since what comes completes no event.
	endEndless runEnd = "endless_bytes"
)

// closesUnbegun reports whether a run whose answer has not begun may be closed for this reason although no path to go on is known: nothing
// will come from it, so that its caller does better to hear that soon.
func (e runEnd) closesUnbegun() bool { return e == endNotListening || e == endEndless }

// leaveRun has a stream leave its present run for another path or, if its answer has not begun and will not, before there is one.
func (w *watcher) leaveRun(f *inflight, first *backend.Server, group *backend.Group, why runEnd) {
	if w.handOver(f, first, group, why) || f.begun.Load() || !why.closesUnbegun() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.startsAt(f, first) && f.next.Load() == nil && !f.begun.Load() {
		w.closeRun(f, why, nil)
	}
}

// recordLeave logs that a stream leaves its run, and the first server of its next path if that is known.
func (w *watcher) recordLeave(f *inflight, why runEnd, next *backend.Server) {
	h, first := w.handler, f.first
	fields := decision.Fields{
		"server": first.ID(), "address": first.Addr(), "still_ms": f.pause(h).Milliseconds(), "gone": first.Gone(),
		"leaving_ms": first.LeavingFor(h.clock.Now()).Milliseconds(), "expected_left_ms": f.expectedLeft(h).Milliseconds(),
	}
	if next != nil {
		fields["next"] = next.ID()
	}
	switch why {
	case endLeaving:
		h.record.Failure(f.r.meta.ID, "handed over", fields)
	case endLostPath:
		h.record.Failure(f.r.meta.ID, "path of a stream lost", fields)
	case endEndless:
		h.record.Failure(f.r.meta.ID, "bytes complete no event", fields)
	default:
		h.record.Failure(f.r.meta.ID, "first part is silent", fields)
	}
}

// closeRun closes the connection of the present run; next is the first server of the next path, or nil if none is chosen yet. The caller
// holds the lock of the watcher, which guarantees that this is still the connection of that run.
func (w *watcher) closeRun(f *inflight, why runEnd, next *backend.Server) {
	w.recordLeave(f, why, next)
	f.closedFor.Store(&why)
	w.handler.stats.Counter("runs_closed_total{reason=\"" + string(why) + "\"}").Inc(1)
	_ = f.conn.Close()
}

// runEnded returns what ended the present run, which broke.
func (f *inflight) runEnded() runEnd {
	if why := f.closedFor.Load(); why != nil {
		return *why
	}
	if f.first.Context().Err() != nil {
		return endRestart
	}
	return endAtServer
}
