package forward

import (
	"time"

	"junctioncross/chain"
)

const (
	// streamAcceptTime is how long after the signal streams are taken: until the balancer has missed two checks, one a second. What
	// comes later would hardly be done in time.
	streamAcceptTime = 2500 * time.Millisecond
	// plainSlack is how many times its objective a plain request may take on a stopping instance.
	plainSlack = 4
	// defaultStep is the time between tokens while no path says better.
	defaultStep = 30 * time.Millisecond
)

// StopBy tells the Handler that the process was told to stop now and will have ended at a moment, so that it takes nothing
// that would not be done by then.
func (h *Handler) StopBy(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopTold, h.stopBy = h.clock.Now(), at
}

// finishes reports whether the request would be done before the process ends.
func (h *Handler) finishes(r *request) bool {
	h.mu.Lock()
	stopTold, stopBy := h.stopTold, h.stopBy
	h.mu.Unlock()
	if stopBy.IsZero() {
		return true
	}
	now := h.clock.Now()
	if r.group.Graph() == nil {
		return now.Add(plainSlack * r.route.Objective).Before(stopBy)
	}
	if now.Sub(stopTold) > streamAcceptTime {
		return false
	}
	need := h.needOf(r)
	path, ok := h.choosePath(&inflight{r: r, need: need})
	if !ok {
		path = chain.Path{Step: defaultStep}
	}
	return now.Add(h.queueOf(r.group.Service().Name).lifetimeQuantile(predictedLifetime(need, path), safeQuantile)).Before(stopBy)
}
