package forward

import (
	"junctioncross/backend"
	"junctioncross/supervise"
)

// partName is the name of this part in lines on panics: the work beside the goroutines of requests.
const partName = "servers"

// guarded runs what is no request of its own, and records a panic over a server, of which nothing is known then.
func (h *Handler) guarded(server *backend.Server, run func()) (returned bool) {
	work := func() supervise.Work { return supervise.Work{Record: server.ID(), Service: server.Service()} }
	return h.guard.Call(partName, work, run)
}

// guardedFor is guarded for work on behalf of a stream.
func (h *Handler) guardedFor(f *inflight, run func()) (returned bool) {
	work := func() supervise.Work { return supervise.Work{Record: f.r.meta.ID} }
	return h.guard.Call(partName, work, run)
}

// releaseTrialUnless lets another request try a server if the attempt that was to try it has ended with a panic, without an outcome.
func releaseTrialUnless(out *outcome, server *backend.Server) {
	if *out == nil {
		server.ReleaseTrial()
	}
}
