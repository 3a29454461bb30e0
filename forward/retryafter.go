package forward

import "time"

const (
	// soon is when a refused caller may come back where nothing better is known.
	soon = time.Second
	// returningRoomShare is the part of the room which comes that callers who come back are to take: the rest is for new ones, which can
	// still be served in time.
	returningRoomShare = 0.5
	// retryJitter is the random part of that time, which keeps those refused together by several instances apart.
	retryJitter = 0.5
	// maxRetryAfterShare is the part of its remaining time up to which a caller heeds when it is told to come back, by the users' pages.
	maxRetryAfterShare = 1.0 / 3
)

// comeBack returns when a refused caller may come back: once there is a server again where all want nothing yet; for a stream, when there
// is room for all who are before it as likely as not, since it then goes first and can wait a while, and no later than it heeds. What it is
// told is remembered, so that those told later come after it.
func (h *Handler) comeBack(r *request) time.Duration {
	now := h.clock.Now()
	if r.group.Graph() != nil {
		return h.retryAfterForStream(r, now)
	}
	if after, known := h.usableIn(r.group, now); known {
		return withRetryJitter(after)
	}
	return soon
}

// retryAfterForStream is comeBack for a stream.
func (h *Handler) retryAfterForStream(r *request, now time.Time) time.Duration {
	q := h.queueOf(r.group.Service().Name)
	lanes, outage := h.lanesAndOutage(r, q, now)
	usableIn, known := time.Duration(0), false
	if len(lanes) == 0 {
		usableIn, known = h.usableIn(r.group, now)
	}
	limit := time.Duration(maxRetryAfterShare * float64(max(h.remaining(r), 0)))
	minimum := min(time.Duration((1-returningShare)*float64(r.meta.Wait)), limit)
	q.mu.Lock()
	defer q.mu.Unlock()
	turns, _ := h.turnsIn(r.group, lanes, q.placesBeforeRetryLocked(now, limit), now)
	after := q.timeToRoomLocked(q.forecastLocked(now, h.watch.still), now, limit)
	switch {
	case known:
		after += usableIn
	case len(lanes) == 0:
		after += q.outages.timeToEnd(outage, median, limit)
	}
	after = max(withRetryJitter(after), minimum)
	after = max(min(max(after, turns), limit), usableIn)
	q.retryTimes = append(q.retryTimes, now.Add(after))
	h.stats.Histogram("come_back_ms").Update(after.Milliseconds())
	return after
}

// placesBeforeRetryLocked returns how many rooms must come before one who is refused now has its own: for those that wait, for those who were told
// to come back within most, and for itself.
func (q *queue) placesBeforeRetryLocked(now time.Time, limit time.Duration) float64 {
	return float64(len(q.waiting) + q.dueRetriesLocked(now, now.Add(limit)) + 1)
}

// timeToRoomLocked returns when there is room for one more than wait and were told to come back, if those get their part of it.
func (q *queue) timeToRoomLocked(c forecast, now time.Time, limit time.Duration) time.Duration {
	if len(c.ages) == 0 {
		return min(q.lifetimes.mean(), limit)
	}
	c.placesPerEnd *= returningRoomShare
	return c.timeFor(q.placesBeforeRetryLocked(now, limit), median, limit)
}
