package forward

import (
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/decision"
	"junctioncross/models"
)

// maxRefusals is how many servers, beyond the attempts that its route allows, may refuse a request before its caller is told.
const maxRefusals = 3

// mayRetry reports whether another attempt may follow one with this outcome.
func (h *Handler) mayRetry(r *request, last outcome, sends int) bool {
	switch o := last.(type) {
	case notRun:
		h.stats.Retried(o.reason)
		return sends < maxRefusals+r.route.MaxAttempts
	case failed:
		if !r.route.MayRetry() || r.activeRuns() >= r.route.MaxAttempts {
			return false
		}
		h.stats.Retried(o.reason)
		return true
	default:
		return false
	}
}

// conclude logs the outcome of the last attempt and answers the caller, unless an answer was passed on already or the caller
// has disconnected.
func (h *Handler) conclude(ctx context.Context, r *request, last outcome) {
	if ctx.Err() != nil && !r.x.Begun() {
		last = h.endOf(ctx, r)
	}
	switch o := last.(type) {
	case delivered:
		h.record.Routine(r.meta.ID, "finished", h.fields(r, decision.Fields{"outcome": "whole"}))
	case callerGone:
		h.stats.Counter("callers_gone_total").Inc(1)
		h.record.Last(r.meta.ID, "finished", h.fields(r, decision.Fields{"outcome": "caller left"}))
	case expired:
		h.giveUp(r, fasthttp.StatusGatewayTimeout, models.ReasonDeadline, nil)
	case notRun:
		if r.runs > 0 {
			h.giveUp(r, fasthttp.StatusBadGateway, o.reason, nil)
			return
		}
		h.refuse(r, o.reason, h.retryAfterFor(r, o.reason))
	case quarantined:
		h.refuseQuarantined(r, o)
	case failed:
		if o.answer != nil {
			h.record.Last(r.meta.ID, "failure passed on", h.fields(r, decision.Fields{"reason": o.reason}))
			o.answer.passOn(r.x)
			return
		}
		h.giveUp(r, fasthttp.StatusBadGateway, o.reason, nil)
	}
}

// endOf returns the outcome of a request whose context has ended before its answer has begun.
func (h *Handler) endOf(ctx context.Context, r *request) outcome {
	switch {
	case errors.Is(context.Cause(ctx), errStopped):
		return notRun{reason: models.ReasonDraining}
	case h.remaining(r) > 0:
		return callerGone{}
	default:
		return expired{}
	}
}
