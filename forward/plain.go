package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

const (
	// maxLoadAge is how old a reported load of a server may be to count.
	maxLoadAge = 500 * time.Millisecond
	// otherDomainCost is added for a server of another domain, so that a request leaves its own domain only for a server
	// whose load per slot is lower by more than this.
	otherDomainCost = 0.3
	// failureCost is added for a server that fails all its requests.
	failureCost = 4.0
)

// plain answers a request of a service that is no chained engine, whose answer is passed on once it is whole.
func (h *Handler) plain(ctx context.Context, r *request) {
	var tried []*backend.Server
	// sameServer is true once the request may have gone to one server by two paths.
	sameServer := false
	var last outcome = notRun{reason: models.ReasonNoServer}
	urgency := h.urgencyFor(r)
	for {
		server := h.pickOrLate(r.group, tried)
		if server == nil {
			break
		}
		if !h.mayBegin(r) {
			last = instead(last, models.ReasonDraining)
			break
		}
		if !h.maySend(r) {
			last = h.outOfBudget(r, last, retry.Spent)
			break
		}
		if k, ok := h.quarantineOf(r); ok {
			last = k
			break
		}
		tried = append(tried, server)
		last = h.tryPlain(ctx, r, server, tried, urgency)
		// A further attempt is useless once the caller has disconnected or the deadline has passed.
		if ctx.Err() != nil || !h.mayRetry(r, last, len(tried)) {
			break
		}
		if f, ok := last.(failed); ok && f.onPath && !sameServer {
			sameServer = true
			tried = tried[:len(tried)-1]
		}
	}
	h.conclude(ctx, r, last)
}

// pickOrLate is pick, but returns a server that is silent, as sound ones may be for a while, rather than none: its late answer is the
// best that can be had.
func (h *Handler) pickOrLate(g *backend.Group, tried []*backend.Server) *backend.Server {
	if server := h.pick(g, tried); server != nil {
		return server
	}
	return h.cheapest(g, tried, (*backend.Server).Late)
}

// pick returns the server with the lowest cost that may get this request, or nil.
func (h *Handler) pick(g *backend.Group, tried []*backend.Server) *backend.Server {
	return h.cheapest(g, tried, (*backend.Server).Usable)
}

// cheapest returns the server with the lowest cost among those that were not tried, are usable and are within their rate limits, or nil.
func (h *Handler) cheapest(
	g *backend.Group, tried []*backend.Server, usable func(s *backend.Server, now time.Time) bool,
) *backend.Server {
	now := h.clock.Now()
	var best *backend.Server
	lowest := 0.0
	for _, s := range g.Servers() {
		if slices.Contains(tried, s) || !usable(s, now) || !s.WithinLimit(h.instances.Instances(), now) {
			continue
		}
		if c := h.plainCost(s, now); best == nil || c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// plainCost combines the load of a server per slot, its domain and its failures; a small random part spreads the requests of
// instances that have the same information.
func (h *Handler) plainCost(s *backend.Server, now time.Time) float64 {
	work := float64(s.Running())
	if load, at := s.Load(); load.Known && now.Sub(at) < maxLoadAge {
		work = max(work, float64(load.Running+load.Waiting))
	}
	cost := (work + rand.Float64()) / float64(max(s.Slots(), 1))
	if s.Domain() != h.settings.Load().Domain {
		cost += otherDomainCost
	}
	return cost + failureCost*s.FailRate()
}

// tryPlain makes one attempt, at one server.
func (h *Handler) tryPlain(
	ctx context.Context, r *request, server *backend.Server, tried []*backend.Server, urgency call.Urgency,
) (out outcome) {
	server.Reserve(0)
	defer server.Release(0)
	server.Chosen()
	defer releaseTrialUnless(&out, server)
	attemptCtx := ctx
	if r.route.RetryPolicy == catalog.RetryAlways && r.activeRuns()+1 < r.route.MaxAttempts {
		var endAttempt func()
		attemptCtx, endAttempt = h.withSilenceLimit(ctx, r, tried)
		defer endAttempt()
	}
	h.record.Routine(r.meta.ID, "sent", h.fields(r, decision.Fields{
		"server": server.ID(), "address": server.Addr(), "attempt": len(tried), "own_running": server.Running(),
	}))
	// If one idle connection has failed silently, the others may have as well: a retry opens a new one.
	to := destination{server: server, fresh: len(tried) > 1 || !r.route.MayRetry()}
	s, err := h.send(attemptCtx, r, to, &call.SendParams{Urgency: urgency, ResumeAfter: r.meta.ResumeAfter})
	if s == nil {
		return h.unsentAttempt(ctx, r, server, err)
	}
	if err == nil {
		err = h.receive(r, s)
	}
	if err != nil {
		h.finish(s, false)
		return h.brokenPlain(ctx, r, s, brokenRun{}, errOf(attemptCtx, err))
	}
	begun := h.clock.Now()
	server.SetLoad(s.info.Load, begun)
	body, err := h.readWhole(r, s)
	if err == nil && !s.framed() && !h.livesAfter(ctx, server) {
		err = errCutOff
	}
	h.finish(s, err == nil)
	if err != nil {
		return h.brokenPlain(ctx, r, s, brokenRun{begun: true, answered: h.clock.Since(begun)}, errOf(attemptCtx, err))
	}
	return h.judgeAnswer(r, server, s, body)
}

// callerDisconnected reports whether the caller has disconnected before the deadline.
func (h *Handler) callerDisconnected(ctx context.Context, r *request) bool {
	return ctx.Err() != nil && h.remaining(r) > 0
}

// unsentAttempt handles an attempt for which nothing was sent.
func (h *Handler) unsentAttempt(ctx context.Context, r *request, server *backend.Server, err error) outcome {
	if h.callerDisconnected(ctx, r) {
		server.ReleaseTrial()
		return callerGone{}
	}
	switch {
	case errors.Is(err, errBackedOff):
		server.ReleaseTrial()
		return notRun{reason: models.RetryBackedOff}
	case errors.Is(err, errOverLimit):
		server.ReleaseTrial()
		return notRun{reason: models.RetryOverLimit}
	}
	server.Failed(h.clock.Now())
	return notRun{reason: models.RetryUnreachable}
}

// brokenPlain handles an attempt that ended without a complete answer. If it ended because the caller disconnected,
// that says nothing about the server.
func (h *Handler) brokenPlain(ctx context.Context, r *request, s *sentRequest, run brokenRun, err error) outcome {
	server := s.server
	r.ranOn(server)
	if h.callerDisconnected(ctx, r) {
		server.ReleaseTrial()
		return callerGone{}
	}
	noMemory := errors.Is(err, errNoMemory)
	onPath := !noMemory && !leftBehindInstance(s, err) && h.pathFailed(server, s.conn, err)
	if noMemory || onPath {
		server.ReleaseTrial()
	} else {
		h.noteBrokenPlain(server, err)
		h.suspectEnd(r, server, run)
	}
	reason := models.RetryBroken
	if errors.Is(err, errStray) {
		reason = models.RetryOutOfOrder
	}
	h.record.Failure(r.meta.ID, "attempt broken", h.fields(r, decision.Fields{
		"server": server.ID(), "address": server.Addr(), "reason": reason, "error": err.Error(),
		"fingerprint": r.fingerprint().String(),
	}))
	return failed{reason: reason, onPath: onPath}
}

// noteBrokenPlain counts an attempt that ended without a complete answer as a failure of its server.
func (h *Handler) noteBrokenPlain(server *backend.Server, err error) {
	if errors.Is(err, errSilent) {
		server.LeftSilent(h.clock.Now())
		return
	}
	server.Observe(false)
	server.Failed(h.clock.Now())
}

// judgeAnswer classifies a complete answer.
func (h *Handler) judgeAnswer(r *request, server *backend.Server, s *sentRequest, body []byte) outcome {
	status := s.info.Status
	switch {
	case s.info.NotRun:
		h.recordRefusal(r, server, s)
		return notRun{reason: models.RetryRefused}
	case status < 300 && !s.info.Sealed:
		server.Observe(false)
		r.ranOn(server)
		return failed{reason: models.RetryBroken}
	case status >= 500:
		server.Observe(false)
		server.ReleaseTrial()
		r.ranOn(server)
		return failed{reason: models.ReasonServiceFailed, answer: h.failureAnswer(s, body)}
	}
	h.plainTimes.add(r, h.clock.Since(s.at))
	server.Observe(true)
	server.Succeeded()
	r.ranOn(server)
	h.clearEnds(r)
	if status < 300 {
		h.proveParts(r)
	}
	h.hold(s, body).passOn(r.x)
	if r.x.Failed() {
		return callerGone{}
	}
	return delivered{}
}

// failureAnswer returns an answer of status 500 or above in the form in which it can be passed on, or nil. A status which
// promises that nothing was run counts only with the seal of the server.
func (h *Handler) failureAnswer(s *sentRequest, body []byte) *heldAnswer {
	if s.info.Status == fasthttp.StatusServiceUnavailable && !s.info.Sealed {
		return nil
	}
	return h.hold(s, body)
}
