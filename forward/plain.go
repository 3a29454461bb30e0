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
)

const (
	// silenceFactor is how many times its objective a request that may be repeated is left with a server that is silent.
	silenceFactor = 2
	// maxLoadAge is how old a server's word on its work may be to count.
	maxLoadAge = 500 * time.Millisecond
	// otherDomainCost keeps requests in their own domain while its server is not busier by so many of its slots.
	otherDomainCost = 0.3
	// failureCost is what a server that fails all its requests counts beside its work.
	failureCost = 4.0
)

// plain answers a request of a plain service.
func (h *Handler) plain(ctx context.Context, r *request) {
	var tried []*backend.Server
	var last outcome = notRun{reason: models.ReasonNoServer}
	for {
		server := h.pick(r.group, tried)
		if server == nil {
			break
		}
		if !h.maySend(r) {
			last = h.outOfBudget(r, last)
			break
		}
		if k, ok := h.keptFrom(r); ok {
			last = k
			break
		}
		tried = append(tried, server)
		last = h.tryPlain(ctx, r, server, tried)
		// Nobody waits for another attempt once the caller has left or its time is over.
		if ctx.Err() != nil || !h.again(r, last, len(tried)) {
			break
		}
	}
	h.conclude(ctx, r, last)
}

// pick returns the server with the least work that may get this request, or nil.
func (h *Handler) pick(g *backend.Group, tried []*backend.Server) *backend.Server {
	now := h.clock.Now()
	var best *backend.Server
	lowest := 0.0
	for _, s := range g.Servers() {
		if slices.Contains(tried, s) || !s.Usable(now) || !s.WithinLimit(h.census.Instances(), now) {
			continue
		}
		if c := h.plainCost(s, now); best == nil || c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// plainCost weighs a server's work for its slots, its distance and its failures; a small random part spreads the requests
// of instances that know the same.
func (h *Handler) plainCost(s *backend.Server, now time.Time) float64 {
	work := float64(s.Running())
	if load, at := s.Load(); load.Known && now.Sub(at) < maxLoadAge {
		work = max(work, float64(load.Running+load.Waiting))
	}
	cost := (work + rand.Float64()) / float64(max(s.Slots(), 1))
	if s.Domain() != h.terms.Load().Domain {
		cost += otherDomainCost
	}
	return cost + failureCost*s.FailRate()
}

// tryPlain sends the request to one server.
func (h *Handler) tryPlain(ctx context.Context, r *request, server *backend.Server, tried []*backend.Server) outcome {
	server.Reserve(0)
	defer server.Release(0)
	server.Chosen()
	attemptCtx := ctx
	if r.route.Repeat == catalog.RepeatAlways && r.standing()+1 < r.route.MaxAttempts {
		var endAttempt func()
		attemptCtx, endAttempt = h.withSilenceLimit(ctx, r, tried)
		defer endAttempt()
	}
	h.record.Routine(r.meta.ID, "sent", h.fields(r, decision.Fields{
		"server": server.ID(), "address": server.Addr(), "attempt": len(tried), "own_running": server.Running(),
	}))
	// When one kept connection has fallen silent, the others may have as well: a repeat gets a new one.
	s, err := h.send(attemptCtx, r, server, &call.Send{}, len(tried) > 1 || !r.route.MayRepeat())
	if s == nil {
		return h.unreached(ctx, r, server, err)
	}
	if err == nil {
		err = h.receive(r, s)
	}
	if err != nil {
		h.finish(s, false)
		return h.brokenPlain(ctx, r, server, err)
	}
	server.SetLoad(s.info.Load, h.clock.Now())
	body, err := readWhole(s)
	h.finish(s, err == nil)
	if err != nil {
		return h.brokenPlain(ctx, r, server, err)
	}
	return h.judgeAnswer(r, server, s, body)
}

// withSilenceLimit returns a context that ends when a server has been silent for too long and another one may take its place: without one the
// answer that may still come is the best that there is. The repeat is granted then; stop must be called after the attempt.
func (h *Handler) withSilenceLimit(ctx context.Context, r *request, tried []*backend.Server) (attemptCtx context.Context, endAttempt func()) {
	limit := max(silenceFactor*r.route.Objective, r.route.Objective+200*time.Millisecond)
	silent := h.clock.After(limit)
	attemptCtx, cancel := context.WithCancel(ctx)
	granted := make(chan bool, 1)
	go func() {
		for {
			select {
			case <-silent:
			case <-attemptCtx.Done():
				granted <- false
				return
			}
			if h.pick(r.group, tried) != nil && h.takeRepeat(r) {
				cancel()
				granted <- true
				return
			}
			silent = h.clock.After(limit)
		}
	}()
	return attemptCtx, func() {
		cancel()
		r.granted = <-granted || r.granted
	}
}

// callerDisconnected reports whether the caller has gone away before its time was over.
func (h *Handler) callerDisconnected(ctx context.Context, r *request) bool {
	return ctx.Err() != nil && h.remaining(r) > 0
}

// unreached judges an attempt for which no connection came about.
func (h *Handler) unreached(ctx context.Context, r *request, server *backend.Server, err error) outcome {
	if h.callerDisconnected(ctx, r) {
		server.Settled()
		return callerGone{}
	}
	switch {
	case errors.Is(err, errBackedOff):
		server.Settled()
		return notRun{reason: models.RetryBackedOff}
	case errors.Is(err, errOverLimit):
		server.Settled()
		return notRun{reason: models.RetryOverLimit}
	}
	server.Failed(h.clock.Now())
	return notRun{reason: models.RetryUnreachable}
}

// brokenPlain judges an attempt that ended without a whole answer; that its caller has left says nothing of the server.
func (h *Handler) brokenPlain(ctx context.Context, r *request, server *backend.Server, err error) outcome {
	r.ranOn(server)
	if h.callerDisconnected(ctx, r) {
		server.Settled()
		return callerGone{}
	}
	server.Observe(false)
	server.Failed(h.clock.Now())
	h.suspectEnd(r, server, 0)
	reason := models.RetryBroken
	if errors.Is(err, errStray) {
		reason = models.RetryOutOfOrder
	}
	h.record.Failure(r.meta.ID, "attempt broken", h.fields(r, decision.Fields{
		"server": server.ID(), "address": server.Addr(), "reason": reason, "error": err.Error(),
		"fingerprint": r.fingerprint().String(),
	}))
	return failed{reason: reason}
}

// judgeAnswer decides what a whole answer means.
func (h *Handler) judgeAnswer(r *request, server *backend.Server, s *sent, body []byte) outcome {
	status := s.info.Status
	switch {
	case s.info.NotRun:
		h.turnedAway(r, server, s)
		return notRun{reason: models.RetryRefused}
	case status < 300 && !s.info.Sealed:
		server.Observe(false)
		r.ranOn(server)
		return failed{reason: models.RetryBroken}
	case status >= 500:
		server.Observe(false)
		server.Settled()
		r.ranOn(server)
		return failed{reason: models.ReasonServiceFailed, answer: h.failureAnswer(s, body)}
	}
	server.Observe(true)
	server.Succeeded()
	r.ranOn(server)
	h.absolve(r)
	r.x.Answer(h.codec.AppendAnswer(nil, &s.head), body)
	if r.x.Failed() {
		return callerGone{}
	}
	return delivered{}
}

// failureAnswer returns the server's failure as it can be passed on: a status that promises that nothing ran is not the
// server's to give unless it says so itself.
func (h *Handler) failureAnswer(s *sent, body []byte) *heldAnswer {
	if s.info.Status == fasthttp.StatusServiceUnavailable && !s.info.Sealed {
		return nil
	}
	return &heldAnswer{head: h.codec.AppendAnswer(nil, &s.head), body: body}
}

// noteFull notes that a server had no room, unless it has said itself for how long it wants nothing. A plain service tells no more, so that
// its server is left alone for a while; the memory of a chained engine is known from its reports.
func (h *Handler) noteFull(r *request, server *backend.Server, now time.Time) {
	switch {
	case server.BackedOff(now):
	case r.group.Graph() != nil:
		server.NoRoom(now)
	default:
		server.WasFull(now)
	}
}

// turnedAway notes why a server did not take a request.
func (h *Handler) turnedAway(r *request, server *backend.Server, s *sent) {
	now := h.clock.Now()
	server.Settled()
	if s.info.Status == fasthttp.StatusMisdirectedRequest {
		server.WasStale(now)
	} else {
		h.noteFull(r, server, now)
	}
	h.record.Failure(r.meta.ID, "turned away", h.fields(r, decision.Fields{
		"server": server.ID(), "address": server.Addr(), "status": s.info.Status, "fault": s.info.Fault,
		"retry_after_ms": s.info.RetryAfter.Milliseconds(), "leaving": s.info.Leaving,
	}))
}
