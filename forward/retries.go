package forward

import (
	"time"

	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

// countRequest counts a request for the retry budget of its service.
func (h *Handler) countRequest(r *request) {
	h.budget.CountRequest(r.group.Service().Name, h.instances.Instances(), h.clock.Now())
}

// maySend reports whether the request may be sent. A request that has reached no server yet needs no retry of the budget,
// and a retry that was taken and reached no server is used for the next attempt.
func (h *Handler) maySend(r *request) bool { return h.maySendAs(r, retry.Claim{}) == retry.Granted }

// maySendStream is maySend for a stream, which may have to leave the last retries to others.
func (h *Handler) maySendStream(f *inflight) retry.Verdict {
	if !f.r.needsRetry() {
		return retry.Granted
	}
	return h.maySendAs(f.r, h.claimOf(f, f.r.group.Service().Name))
}

// checkRetry returns what maySendStream would return, and takes no retry.
func (h *Handler) checkRetry(f *inflight) retry.Verdict {
	if !f.r.needsRetry() {
		return retry.Granted
	}
	service := f.r.group.Service().Name
	verdict, _ := h.budget.Check(h.claimOf(f, service), service, h.instances.Instances(), h.clock.Now())
	return verdict
}

// needsRetry reports whether the request needs a retry of the budget to be sent, and holds none.
func (r *request) needsRetry() bool { return r.sends > 0 && !r.retryGranted }

// maySendAs is maySend for a request with a claim to a retry.
func (h *Handler) maySendAs(r *request, claim retry.Claim) retry.Verdict {
	if !r.needsRetry() {
		return retry.Granted
	}
	now := h.clock.Now()
	verdict := h.takeRetryAs(r, claim, now)
	if verdict == retry.Granted {
		r.retryGranted, r.retryTaken = true, now
	}
	return verdict
}

// takeRetry takes one retry from the budget of the service.
func (h *Handler) takeRetry(r *request) bool {
	return h.takeRetryAs(r, retry.Claim{}, h.clock.Now()) == retry.Granted
}

// takeRetryAs is takeRetry for a request with a claim; it may have to leave the last retries to others.
func (h *Handler) takeRetryAs(r *request, claim retry.Claim, now time.Time) retry.Verdict {
	service := r.group.Service().Name
	verdict := h.budget.TakeFor(claim, service, h.instances.Instances(), now)
	if verdict == retry.Granted {
		h.stats.Counter("repeats_total{service=\"" + service + "\"}").Inc(1)
	}
	if h.retryLog.Allow(service, now) {
		h.record.Routine("", "repeats", h.allowanceFields(service, decision.Fields{"service": service}))
	}
	return verdict
}

// returnRetry gives back the retry that a stream holds at its end: nothing was sent with it.
func (h *Handler) returnRetry(f *inflight) {
	if next := f.takeNext(); next != nil {
		h.giveBack(f.r, next.retryTaken)
	}
	if f.r.retryGranted {
		f.r.retryGranted = false
		h.giveBack(f.r, f.r.retryTaken)
	}
}

// giveBack gives back a retry of the budget that was taken at the given time.
func (h *Handler) giveBack(r *request, taken time.Time) {
	h.budget.Return(r.group.Service().Name, taken, h.instances.Instances(), h.clock.Now())
	h.stats.Counter("repeats_returned_total").Inc(1)
}

// budgetReason returns the reason of a refusal for lack of a retry.
func budgetReason(verdict retry.Verdict) models.Reason {
	if verdict == retry.Kept {
		return models.ReasonRetryBudgetKept
	}
	return models.ReasonRetryBudgetSpent
}

// outOfBudget returns how the last attempt ended, with the budget as the reason that there is no further one.
func (h *Handler) outOfBudget(r *request, last outcome, verdict retry.Verdict) outcome {
	reason := budgetReason(verdict)
	if verdict == retry.Kept {
		h.stats.Counter("repeats_kept_for_others_total").Inc(1)
	} else {
		h.stats.Counter("repeats_out_of_budget_total").Inc(1)
	}
	fields := h.allowanceFields(r.group.Service().Name, decision.Fields{"reason": reason})
	h.record.Failure(r.meta.ID, "no repeat", h.fields(r, fields))
	return instead(last, reason)
}

// retryAfterFor returns the Retry-After time for a caller who is refused for a reason. A stream that was refused for lack of a
// retry is also told to wait until the budget has one again, within the limit for Retry-After times.
func (h *Handler) retryAfterFor(r *request, reason models.Reason) time.Duration {
	if reason == models.ReasonDraining {
		return h.drainRetryAfter(r)
	}
	after := h.retryAfter(r)
	if reason != models.ReasonRetryBudgetSpent || r.group.Graph() == nil {
		return after
	}
	_, refilled := h.budget.Check(retry.Claim{}, r.group.Service().Name, h.instances.Instances(), h.clock.Now())
	return max(after, min(withRetryJitter(refilled), h.retryAfterLimit(r)))
}

// allowance returns the retry budget of a service.
func (h *Handler) allowance(service string) retry.Allowance {
	return h.budget.Allowance(service, h.instances.Instances(), h.clock.Now())
}

// allowanceFields adds the values that the retry budget of a service is computed from.
func (h *Handler) allowanceFields(service string, fields decision.Fields) decision.Fields {
	a := h.allowance(service)
	fields["requests"], fields["left"], fields["fixed_part"] = a.Requests, a.Left, a.Fixed
	fields["instances"], fields["process_ms"] = h.instances.Instances(), h.clock.Since(h.watch.start).Milliseconds()
	return fields
}

// measureRetries exports how many retries each service has left of this instance's share of the budget.
func (h *Handler) measureRetries() {
	for _, service := range h.budget.Services() {
		h.gauge("repeats_left", "service", service, int64(h.allowance(service).Left))
	}
}
