package forward

import (
	"slices"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
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

// handOver has a stream resumed on another path, after the last event that was passed on. It does so only if there is such a path, the
// request may run there and there is a retry for it, so that nothing is lost by leaving the present run. A stream that makes progress at
// a server which leaves accepts no path that crosses domains more often.
func (w *watcher) handOver(f *inflight, first *backend.Server, group *backend.Group, why runEnd) bool {
	h := w.handler
	if group == nil || !f.r.route.MayRetry() {
		return false
	}
	group = w.groupFor(f, group)
	claim := h.claimOf(f, group.Service().Name)
	if verdict, _ := h.budget.Check(claim, group.Service().Name, h.instances.Instances(), h.clock.Now()); verdict != retry.Granted {
		return false
	}
	h.queryDrained(f, first)
	next, ok := h.choosePathIn(f, group, f.startsAfter(append(slices.Clone(f.previousServers()), first)))
	if !ok || why == endLeaving && !first.Suspected(h.clock.Now()) && resolvePath(group, next.path.Hops).crossings() > f.path().crossings() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	next.retryTaken = h.clock.Now()
	if !w.startsAt(f, first) || f.next.Load() != nil || h.isQuarantined(f.r) || h.takeRetryAs(f.r, claim, next.retryTaken) != retry.Granted {
		return false
	}
	f.next.Store(&next)
	h.stats.Counter("streams_handed_over_total").Inc(1)
	w.closeRun(f, why, group.Servers()[next.path.Hops[0].Server])
	return true
}

// queryDrained finds out which of the earlier servers of a stream that have had the time to leave have terminated, so that they no
// longer count as running it.
func (h *Handler) queryDrained(f *inflight, first *backend.Server) {
	now, drain := h.clock.Now(), h.settings.Load().DrainTime
	for _, s := range activeServers(f.previousServers()) {
		if s != first && s.LeavingFor(now) > drain {
			h.lookAfter(f, s, "former run")
		}
	}
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
		f.noteBroken(h)
		h.lookAfter(f, f.first, "broken stream")
		h.suspectEnd(f.r, f.first, f.brokenRun(h))
	}
	return handedOver{}
}
