package forward

import "time"

const (
	// defaultRetryAfter is the Retry-After time where nothing better is known.
	defaultRetryAfter = time.Second
	// returningRoomShare is the part of the room that becomes free that is meant for returning callers; the rest is for new
	// ones, which can still be served in time.
	returningRoomShare = 0.5
	// retryJitter is the greatest random part of a Retry-After time. It keeps callers apart that several instances refuse at
	// the same time.
	retryJitter = 0.5
	// maxRetryAfterShare is the part of its remaining time up to which a caller follows a Retry-After, according to the users'
	// documentation.
	maxRetryAfterShare = 1.0 / 3
)

// retryAfter returns the Retry-After time for a refused caller. If all servers are backed off, it is when the first one accepts
// work again. For a stream, it is when there is as likely as not room for all requests ahead of it, because the caller then
// goes first and can wait a while; but it is not later than the caller would follow. The time is remembered, so that callers
// refused later are sent behind this one.
func (h *Handler) retryAfter(r *request) time.Duration {
	now := h.clock.Now()
	if r.group.Graph() != nil {
		return h.retryAfterForStream(r, now)
	}
	if after, known := h.usableIn(r.group, now); known {
		return withRetryJitter(after)
	}
	return defaultRetryAfter
}

// retryAfterForStream returns the Retry-After time for the caller of a stream.
func (h *Handler) retryAfterForStream(r *request, now time.Time) time.Duration {
	q := h.queueOf(r.group.Service().Name)
	lanes, outage := h.lanesAndOutage(r, q, now)
	usableIn, known := time.Duration(0), false
	if len(lanes) == 0 {
		usableIn, known = h.usableIn(r.group, now)
	}
	limit := h.retryAfterLimit(r)
	// A caller that comes back sooner than that could not be told from a new one.
	minimum := min(time.Duration((1-returningShare)*float64(r.meta.Wait)), limit)
	q.mu.Lock()
	defer q.mu.Unlock()
	rateDelay, _ := h.rateLimitDelay(r.group, lanes, q.placesBeforeRetryLocked(now, limit), now)
	after := h.timeToRoomLocked(r, q, now, limit)
	switch {
	case known:
		after += usableIn
	case len(lanes) == 0:
		after += q.outages.timeToEnd(outage, median, limit)
	}
	after = max(withRetryJitter(after), minimum)
	after = max(min(max(after, rateDelay), limit), usableIn)
	q.retryTimes = append(q.retryTimes, now.Add(after))
	q.told.add(now)
	h.stats.Histogram("come_back_ms").Update(after.Milliseconds())
	return after
}

// retryAfterLimit returns the longest Retry-After time that the caller of a request would follow.
func (h *Handler) retryAfterLimit(r *request) time.Duration {
	return time.Duration(maxRetryAfterShare * float64(max(h.remaining(r), 0)))
}

// timeToRoomLocked returns when there is room for a caller that is refused now: from the load of the domain if it is known, and
// otherwise from the own streams.
func (h *Handler) timeToRoomLocked(r *request, q *queue, now time.Time, limit time.Duration) time.Duration {
	if d, known := h.domainForecast(r.group.Service().Name, now); known {
		r.forecast = forecastDomain
		return d.timeToRoom(limit)
	}
	r.forecast = forecastOwn
	return q.timeToRoomLocked(q.forecastLocked(now, h.watch.stalled), now, limit)
}

// placesBeforeRetryLocked returns how many places must become free before a caller that is refused now gets room: those for the
// waiting requests, for callers who were told to come back within limit, and its own.
func (q *queue) placesBeforeRetryLocked(now time.Time, limit time.Duration) float64 {
	return float64(len(q.waiting) + q.dueRetriesLocked(now, now.Add(limit)) + 1)
}

// timeToRoomLocked returns when there is room for one more than the waiting requests and the callers who were told to come
// back, if these get the share of the room that is meant for them.
func (q *queue) timeToRoomLocked(c forecast, now time.Time, limit time.Duration) time.Duration {
	if len(c.ages) == 0 {
		return min(q.lifetimes.mean(), limit)
	}
	c.placesPerEnd *= returningRoomShare
	return c.timeFor(q.placesBeforeRetryLocked(now, limit), median, limit)
}
