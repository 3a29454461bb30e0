package forward

import (
	"time"

	"junctioncross/chain"
)

const (
	// streamAcceptTime is how long after the stop signal streams are accepted: until the balancer has missed two health
	// checks, one a second. Streams that come later would hardly finish in time.
	streamAcceptTime = 2500 * time.Millisecond
	// plainSlack is how many times its objective a plain request may take on a stopping instance.
	plainSlack = 4
	// defaultStep is the assumed time between two tokens while there is no path to predict it from.
	defaultStep = 30 * time.Millisecond
)

// StopBy tells the Handler that the process has now been told to stop and will have ended at the given time; requests that
// would not finish by then are refused.
func (h *Handler) StopBy(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopRequested, h.stopBy = h.clock.Now(), at
}

// finishes reports whether the request would finish before the process ends.
func (h *Handler) finishes(r *request) bool {
	h.mu.Lock()
	stopRequested, stopBy := h.stopRequested, h.stopBy
	h.mu.Unlock()
	if stopBy.IsZero() {
		return true
	}
	now := h.clock.Now()
	if r.group.Graph() == nil {
		return now.Add(plainSlack * r.route.Objective).Before(stopBy)
	}
	if now.Sub(stopRequested) > streamAcceptTime {
		return false
	}
	need := h.needOf(r)
	path, ok := h.choosePath(&inflight{r: r, need: need})
	if !ok {
		path = chain.Path{Step: defaultStep}
	}
	return now.Add(h.queueOf(r.group.Service().Name).lifetimeQuantile(predictedLifetime(need, path), safeQuantile)).Before(stopBy)
}
