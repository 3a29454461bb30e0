package forward

import (
	"time"

	"junctioncross/backend"
)

// coldRetryJitter is the greatest random part of the Retry-After time of a cold service; it keeps refused callers from coming
// back all at once.
const coldRetryJitter = 2 * time.Second

// coldService returns how much longer the request's service is expected to have no path at all, if that is known. Waiting for a
// first path takes seconds and would be too late for most callers. A returning caller waits all the same, since it hardly has
// another chance.
func (h *Handler) coldService(r *request) (time.Duration, bool) {
	if r.group.Graph() == nil {
		return 0, false
	}
	left, cold := h.coldTimeLeft(r.group)
	return left, cold && !h.hasReturned(r)
}

// coldTimeLeft returns how much longer the instance expects to have no path for a cold service. A service is cold while it is
// still being placed: it has had no path since the instance started, and some layer has no holder in any domain. False means
// that a path may appear at any moment, or exists.
func (h *Handler) coldTimeLeft(group *backend.Group) (time.Duration, bool) {
	now := h.clock.Now()
	left := firstPathTime - now.Sub(h.watch.start)
	if left <= 0 || len(group.Servers()) == 0 || group.Graph().CoversAllLayers() {
		return 0, false
	}
	_, had := h.laneCacheOf(group.Service().Name).outage(group, now)
	return left, !had
}
