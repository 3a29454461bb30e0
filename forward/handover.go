package forward

import (
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

// chosenPath is a path that was chosen for a stream from the servers of a group.
type chosenPath struct {
	group *backend.Group
	path  chain.Path
	// load is the share of the lane's memory that was thought to be taken.
	load float64
	// at is when the path was chosen.
	at time.Time
	// retryTaken is when the retry for it was taken from the budget.
	retryTaken time.Time
}

// handOver has a stream resumed on a path with another first server, after the last event that was passed on; text is the log
// text. It does so only if there is such a path and the request may run there, so that nothing is lost by leaving the present
// server. A path that crosses domains more often is accepted only if the present server does not answer.
func (w *watcher) handOver(f *inflight, first *backend.Server, group *backend.Group, text string) bool {
	h := w.handler
	if !f.r.route.MayRetry() || !h.mayRunAgain(f, first) {
		return false
	}
	next, ok := h.choosePathIn(f, group, nil)
	if !ok || !first.Suspected(h.clock.Now()) && resolvePath(group, next.path.Hops).crossings() > f.path().crossings() {
		return false
	}
	claim := h.claimOf(f, group.Service().Name)
	w.mu.Lock()
	defer w.mu.Unlock()
	next.retryTaken = h.clock.Now()
	if !w.startsAt(f, first) || h.takeRetryAs(f.r, claim, next.retryTaken) != retry.Granted {
		return false
	}
	f.next.Store(&next)
	h.stats.Counter("streams_handed_over_total").Inc(1)
	h.record.Failure(f.r.meta.ID, text, decision.Fields{
		"server": first.ID(), "address": first.Addr(), "still_ms": f.pause(h).Milliseconds(), "gone": first.Gone(),
		"leaving_ms": first.LeavingFor(h.clock.Now()).Milliseconds(), "expected_left_ms": f.expectedLeft(h).Milliseconds(),
		"next": group.Servers()[next.path.Hops[0].Server].ID(),
	})
	w.closeRun(f, endHandedOver)
	return true
}

// mayRunAgain reports whether a stream may run on one more server while its present first server is still active. Earlier
// servers that have had the time to leave are queried whether they have terminated.
func (h *Handler) mayRunAgain(f *inflight, first *backend.Server) bool {
	now, drain := h.clock.Now(), h.settings.Load().DrainTime
	others := 0
	for _, s := range activeServers(f.previousServers()) {
		if s == first {
			continue
		}
		others++
		if s.LeavingFor(now) > drain {
			h.queryState(s, "former run")
		}
	}
	return 1+others < f.r.route.MaxAttempts
}

// previousServers returns the servers that ran the stream before the present attempt.
func (f *inflight) previousServers() []*backend.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.earlierServers
}

// takeNext returns the path on which a stream that was handed over is resumed, or nil, and clears it.
func (f *inflight) takeNext() *chosenPath { return f.next.Swap(nil) }

// handedOverFrom returns the outcome of an attempt whose stream is resumed elsewhere. A first server that is neither leaving
// nor has dropped its layers was left because it is silent, which counts as a failure.
func (h *Handler) handedOverFrom(f *inflight, layers models.Layers) outcome {
	f.r.ranOn(f.first)
	if f.first.Leaving() || droppedStage(f.first, layers) || h.onLostPath(f) {
		f.first.ReleaseTrial()
	} else {
		f.first.LeftSilent(h.clock.Now())
		h.queryState(f.first, "broken stream")
		h.suspectEnd(f.r, f.first, f.brokenRun(h))
	}
	return handedOver{}
}
