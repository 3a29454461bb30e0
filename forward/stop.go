package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/front"
)

const (
	// acceptTime is how long after the stop signal the balancer may still send new callers: until it has missed two health checks, one a
	// second.
	acceptTime = 2500 * time.Millisecond
	// defaultStep is the assumed time between two tokens while there is no path to predict it from.
	defaultStep = 30 * time.Millisecond
)

// errStopped means that the process ends before the request does.
var errStopped = errors.New("forward: process ends")

// stopTimes are the times of a stop; both are zero before.
type stopTimes struct {
	// requested is when the process was told to stop, and by the time until when its requests must be over.
	requested, by time.Time
}

// StopBy tells the Handler that the process has now been told to stop and will end soon after the given time; requests that may not be
// over by then are refused.
func (h *Handler) StopBy(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop = stopTimes{requested: h.clock.Now(), by: at}
}

// EndUnbegun gives all requests whose answers have not begun their final answers, since the process ends now.
func (h *Handler) EndUnbegun() { h.endUnbegun() }

// withStop returns a context that also ends, with errStopped as its cause, if the answer has not begun when the process ends. The returned
// function must be called after the request.
func (h *Handler) withStop(ctx context.Context, x *front.Exchange) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(h.unbegun, func() {
		if !x.Begun() {
			cancel(errStopped)
		}
	})
	return ctx, func() {
		release()
		cancel(nil)
	}
}

func (h *Handler) stopTimes() stopTimes {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stop
}

// accepts reports whether a request that comes now may begin. On a stopping instance one that need not be over in time is accepted only
// while the balancer may still send new callers, who would use up a try on the refusal.
func (h *Handler) accepts(r *request) bool {
	stop := h.stopTimes()
	if stop.endsFor(r) {
		return true
	}
	return h.clock.Since(stop.requested) <= acceptTime && h.likelyOver(r, stop)
}

// mayBegin reports whether a request may be sent to a server: a process that stops begins nothing that it would cut.
func (h *Handler) mayBegin(r *request) bool {
	stop := h.stopTimes()
	return stop.endsFor(r) || h.likelyOver(r, stop)
}

// endsFor reports whether the request must be over, by its deadline, while the process runs.
func (s stopTimes) endsFor(r *request) bool { return s.by.IsZero() || !r.deadline.After(s.by) }

// likelyOver reports whether the request is likely to be over in time if it is sent now.
func (h *Handler) likelyOver(r *request, stop stopTimes) bool {
	need := h.likelyTime(r)
	if !r.route.MayRetry() {
		// If it is cut, its caller cannot send it again.
		need += backend.MaxSoundSilence
	}
	return h.clock.Now().Add(need).Before(stop.by)
}

// likelyTime returns the time within which most requests like this one are over.
func (h *Handler) likelyTime(r *request) time.Duration {
	if r.group.Graph() == nil {
		return h.plainTimes.quantile(r, safeQuantile)
	}
	need := h.needOf(r)
	path, ok := h.choosePath(&inflight{r: r, need: need})
	if !ok {
		path = chain.Path{Step: defaultStep}
	}
	return h.queueOf(r.group.Service().Name).lifetimeQuantile(predictedLifetime(need, path), safeQuantile)
}

// drainRetryAfter returns the Retry-After time for a caller who is to ask another instance at once, or, if there is none, to come back when
// this one may have started again.
func (h *Handler) drainRetryAfter(r *request) time.Duration {
	if h.instances.Instances() > 1 {
		return 0
	}
	return min(max(h.stopTimes().by.Sub(h.clock.Now()), 0), h.retryAfterLimit(r))
}
