package forward

import (
	"time"

	"junctioncross/backend"
)

// coldSpread keeps those that a cold service refused from coming back together.
const coldSpread = 2 * time.Second

// coldService returns how much longer the request's service will have no path at all, if that is known. Waiting for the first path
// takes seconds and would come too late; who has come back already waits all the same, since it has hardly another chance.
func (h *Handler) coldService(r *request) (time.Duration, bool) {
	if r.group.Graph() == nil {
		return 0, false
	}
	left, cold := h.coldTimeLeft(r.group)
	return left, cold && !h.hasReturned(r)
}

// coldTimeLeft returns how much longer the instance expects to have no path for a service that is still being placed: it has had none
// since its start, and some layer has no holder in any domain. False means that a path may come at any moment, or is there.
func (h *Handler) coldTimeLeft(group *backend.Group) (time.Duration, bool) {
	now := h.clock.Now()
	left := firstPathTime - now.Sub(h.watch.start)
	if left <= 0 || len(group.Servers()) == 0 || group.Graph().Whole() {
		return 0, false
	}
	_, had := h.laneBook(group.Service().Name).outage(group, now)
	return left, !had
}
