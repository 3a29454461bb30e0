package forward

import (
	"time"

	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

func (h *Handler) countRequest(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.window(r).Request(h.clock.Now())
}

// mayRepeat takes one repeat of the service's allowance.
func (h *Handler) mayRepeat(r *request) bool {
	now, fixed := h.clock.Now(), h.fixedPart()
	h.mu.Lock()
	w := h.window(r)
	allowed, tell := w.Take(now, fixed), h.mayTellRepeats(r.group.Service().Name, now)
	requests, repeats := w.Counts(now)
	h.mu.Unlock()
	if allowed {
		h.stats.Counter("repeats_total{service=\"" + r.group.Service().Name + "\"}").Inc(1)
	}
	if tell {
		h.record.Routine("", "repeats", h.repeatFields(decision.Fields{"service": r.group.Service().Name}, requests, repeats))
	}
	return allowed
}

// outOfBudget keeps how the last attempt ended and names the budget as the reason that there is no other.
func (h *Handler) outOfBudget(r *request, last outcome) outcome {
	h.stats.Counter("repeats_out_of_budget_total").Inc(1)
	h.mu.Lock()
	requests, repeats := h.window(r).Counts(h.clock.Now())
	h.mu.Unlock()
	h.record.Failure(r.meta.ID, "no repeat", h.fields(r, h.repeatFields(decision.Fields{"reason": models.ReasonNoBudget}, requests, repeats)))
	if _, ok := last.(notRun); ok {
		return notRun{reason: models.ReasonNoBudget}
	}
	return last
}

// repeatFields adds what the allowance is made of to a line.
func (h *Handler) repeatFields(fields decision.Fields, requests, repeats int) decision.Fields {
	fields["requests"], fields["repeats"] = requests, repeats
	fields["fixed_part"], fields["instances"] = h.fixedPart(), h.census.Instances()
	fields["process_ms"] = h.clock.Since(h.begun).Milliseconds()
	return fields
}

// mayTellRepeats bounds the lines on the repeats of a service; the caller holds the lock.
func (h *Handler) mayTellRepeats(service string, now time.Time) bool {
	if now.Sub(h.repeatsTold[service]) < tellPeriod {
		return false
	}
	h.repeatsTold[service] = now
	return true
}

// fixedPart returns the instance's part of the repeats that are allowed besides a share of the requests.
func (h *Handler) fixedPart() float64 {
	return h.terms.Load().RepeatSlack / float64(h.census.Instances())
}

// window returns the service's allowance; the caller holds the lock.
func (h *Handler) window(r *request) *retry.Window {
	name, terms := r.group.Service().Name, h.terms.Load()
	w := h.windows[name]
	if w == nil {
		w = retry.NewWindow(terms.RepeatWindow, terms.RepeatShare, h.clock.Now())
		h.windows[name] = w
	}
	w.Limit(terms.RepeatWindow, terms.RepeatShare)
	return w
}

// measureRepeats tells how many repeats each service has left of the instance's part of the allowance.
func (h *Handler) measureRepeats(now time.Time) {
	fixed := h.fixedPart()
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, w := range h.windows {
		h.gauge("repeats_left", "service", name, int64(w.Left(now, fixed)))
	}
}
