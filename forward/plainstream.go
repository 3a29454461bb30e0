package forward

import (
	"slices"
	"time"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/chain"
)

// choosePlain returns the path to a server of a plain service that may run a stream, one of some servers; nil means any. It has no layers.
// Servers that have rejected the stream or broken it get it again only if it must go on and no other server can take it.
func (h *Handler) choosePlain(f *inflight, group *backend.Group, allowed []*backend.Server) (chosenPath, bool) {
	now := h.clock.Now()
	out := f.ruledOut(group, allowed, now)
	server := h.pickFor(f, group, out.last)
	if server == nil && (f.begun.Load() || f.left.Load()) {
		server = h.pickFor(f, group, out.now)
	}
	if server == nil {
		return chosenPath{}, false
	}
	path := chain.Path{Hops: []chain.Hop{{Server: slices.Index(group.Servers(), server)}}}
	return chosenPath{group: group, path: path, at: now}, true
}

// pickFor returns the best server for a stream but for those that are ruled out, or nil. A stream under way is not moved to a server that is
// silent.
func (h *Handler) pickFor(f *inflight, group *backend.Group, ruledOut []*backend.Server) *backend.Server {
	if len(f.path().servers) > 0 {
		return h.pick(group, ruledOut)
	}
	return h.pickOrLate(group, ruledOut)
}

// ruledOutServers are the servers of a group that a stream is not to get now, and those that it is to get last, which include them.
type ruledOutServers struct{ now, last []*backend.Server }

// ruledOut returns the servers that a stream is not to get: those beyond the allowed ones, of which nil allows all, the one that it runs on, and
// those that rejected or broke it.
func (f *inflight) ruledOut(group *backend.Group, allowed []*backend.Server, now time.Time) ruledOutServers {
	avoid, starts, present := f.avoid(group, now), startsOf(group, allowed), f.path().servers
	var out ruledOutServers
	for i, s := range group.Servers() {
		switch {
		case !starts.allow(i) || avoid.bars(i) || slices.Contains(present, s):
			out.now, out.last = append(out.now, s), append(out.last, s)
		case len(avoid.rejected) > 0 && avoid.rejected[i]:
			out.last = append(out.last, s)
		}
	}
	return out
}

// noteBroken keeps a stream of a plain service away from the server that broke it, while there are others.
func (f *inflight) noteBroken(h *Handler) {
	if f.plain {
		f.noteRejection(f.first, h.clock.Now())
	}
}

// pathToSend returns the present path in the form in which it is sent; a server of a plain service gets none.
func (f *inflight) pathToSend() []call.Stage {
	if f.plain {
		return nil
	}
	return f.path().stages()
}

// beginWait notes that the server of the present attempt is waited for from now on. Servers of engines are queried instead.
func (f *inflight) beginWait(h *Handler) {
	if !f.plain {
		return
	}
	f.waitsSince.Store(max(int64(h.clock.Since(h.watch.start)), 1))
}

// endWait notes that the server is not waited for, since something has come or the attempt is over.
func (f *inflight) endWait() { f.waitsSince.Store(0) }

// plainIsSilent reports whether the server of a stream of a plain service, which answers no state queries, has sent nothing for longer than sound
// servers are silent. A caller that reads slowly says nothing of the server.
func (w *watcher) plainIsSilent(f *inflight) bool {
	waits := f.waitsSince.Load()
	if waits == 0 {
		return false
	}
	h, since := w.handler, w.start.Add(time.Duration(waits))
	limit := silenceLimit(f.r.route)
	if f.begun.Load() {
		limit = max(backend.MaxSoundSilence, silenceFactor*f.r.route.PauseObjective)
	}
	return h.clock.Since(since) > h.clock.Patience(limit) && !h.clock.DelayedSince(since, limit)
}
