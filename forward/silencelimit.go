package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/catalog"
)

const (
	// silenceFactor times its objective is how long a request that may be retried stays with a server that does not answer.
	silenceFactor = 2
	// minSilenceSlack is how much longer than its objective that is at least.
	minSilenceSlack = 200 * time.Millisecond
)

// errSilent means that a request left its server because that was silent for too long.
var errSilent = errors.New("forward: server is silent")

// errOf returns the error of an attempt that broke: errSilent if its silence limit ended it.
func errOf(attemptCtx context.Context, err error) error {
	if errors.Is(context.Cause(attemptCtx), errSilent) {
		return errSilent
	}
	return err
}

// silenceLimit returns how long a server may take to begin its answer before the request leaves it for another one.
func silenceLimit(route *catalog.Route) time.Duration {
	return max(silenceFactor*route.Objective, route.Objective+minSilenceSlack)
}

// withSilenceLimit returns a context that ends when a server has been silent for too long and another one can take its
// place, or its path over the own links is lost; otherwise its late answer is the best that can be had. The retry for that has been taken from
// the budget by then. endAttempt must be called after the attempt.
func (h *Handler) withSilenceLimit(ctx context.Context, r *request, tried []*backend.Server) (attemptCtx context.Context, endAttempt func()) {
	limit := silenceLimit(r.route)
	sentAt, silent := h.clock.Now(), h.clock.After(h.clock.Patience(limit))
	r.direct.Store(false)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	granted := make(chan bool, 1)
	// leave returns once the attempt is over, or true once it has to leave its server.
	leave := func() bool {
		for {
			select {
			case <-silent:
			case <-attemptCtx.Done():
				return false
			}
			if !h.clock.DelayedSince(sentAt, limit) && h.mayGoElsewhere(r, tried) && h.takeRetry(r) {
				cancel(errSilent)
				return true
			}
			silent = h.clock.After(limit)
		}
	}
	go func() {
		left := false
		h.guarded(tried[len(tried)-1], func() { left = leave() })
		granted <- left
	}()
	return attemptCtx, func() {
		cancel(nil)
		r.retryGranted = <-granted || r.retryGranted
	}
}

// mayGoElsewhere reports whether a request may be sent again, to another server or on another path to the last one of those tried.
func (h *Handler) mayGoElsewhere(r *request, tried []*backend.Server) bool {
	if h.isQuarantined(r) || !h.mayBegin(r) {
		return false
	}
	pathLost := r.direct.Load() && h.dialer.Lost(tried[len(tried)-1].Addr())
	return pathLost || h.pick(r.group, tried) != nil
}

// leftBehindInstance reports whether a request left its server because of its silence, over a connection through another instance: this
// instance has closed it, which says nothing of the path.
func leftBehindInstance(s *sentRequest, err error) bool {
	return errors.Is(err, errSilent) && !s.conn.Direct()
}
