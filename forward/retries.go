package forward

import (
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

func (h *Handler) countRequest(r *request) {
	h.budget.CountRequest(r.group.Service().Name, h.instances.Instances(), h.clock.Now())
}

// maySend reports whether the request may be sent. A request that has reached no server yet needs no retry of the budget,
// and a retry that was taken and reached no server is used for the next attempt.
func (h *Handler) maySend(r *request) bool {
	if r.sends > 0 && !r.retryGranted {
		r.retryGranted = h.takeRetry(r)
	}
	return r.sends == 0 || r.retryGranted
}

// takeRetry takes one retry from the budget of the service.
func (h *Handler) takeRetry(r *request) bool {
	service, now := r.group.Service().Name, h.clock.Now()
	allowed := h.budget.Take(service, h.instances.Instances(), now)
	if allowed {
		h.stats.Counter("repeats_total{service=\"" + service + "\"}").Inc(1)
	}
	if h.retryLog.allow(service, now) {
		h.record.Routine("", "repeats", h.allowanceFields(service, decision.Fields{"service": service}))
	}
	return allowed
}

// outOfBudget returns how the last attempt ended, with the empty budget as the reason that there is no further one.
func (h *Handler) outOfBudget(r *request, last outcome) outcome {
	h.stats.Counter("repeats_out_of_budget_total").Inc(1)
	fields := h.allowanceFields(r.group.Service().Name, decision.Fields{"reason": models.ReasonRetryBudgetSpent})
	h.record.Failure(r.meta.ID, "no repeat", h.fields(r, fields))
	if _, ok := last.(notRun); ok {
		return notRun{reason: models.ReasonRetryBudgetSpent}
	}
	return last
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
