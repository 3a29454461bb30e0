package forward

import "time"

const (
	// soon is when a refused caller may come back where nothing better is known.
	soon = time.Second
	// returnPart is the part of the room which comes that callers who come back are to take: the rest is for new ones, which can
	// still be served in time.
	returnPart = 0.5
	// returnSpread is the random part of that time, which keeps those refused together by several instances apart.
	returnSpread = 0.5
	// heedPart is the part of its remaining time up to which a caller heeds when it is told to come back, by the users' pages.
	heedPart = 1.0 / 3
)

// comeBack returns when a refused caller may come back: once there is a server again where all want nothing yet; for a stream, when there
// is room for all who are before it as likely as not, since it then goes first and can wait a while, and no later than it heeds. What it is
// told is remembered, so that those told later come after it.
func (h *Handler) comeBack(r *request) time.Duration {
	now := h.clock.Now()
	if r.group.Graph() != nil {
		return h.comeBackToStream(r, now)
	}
	if after, known := h.returnsIn(r.group, now); known {
		return spreadReturn(after)
	}
	return soon
}

// comeBackToStream is comeBack for a stream.
func (h *Handler) comeBackToStream(r *request, now time.Time) time.Duration {
	q := h.queueOf(r.group.Service().Name)
	lanes, spell := h.pathless(r, q, now)
	returns, known := time.Duration(0), false
	if len(lanes) == 0 {
		returns, known = h.returnsIn(r.group, now)
	}
	most := time.Duration(heedPart * float64(max(h.remaining(r), 0)))
	least := min(time.Duration((1-returnedShare)*float64(r.meta.Wait)), most)
	q.mu.Lock()
	defer q.mu.Unlock()
	turns, _ := h.turnsIn(r.group, lanes, q.placesBackLocked(now, most), now)
	after := q.roomLocked(q.forecastLocked(now, h.watch.still), now, most)
	switch {
	case known:
		after += returns
	case len(lanes) == 0:
		after += q.spells.until(spell, median, most)
	}
	after = max(spreadReturn(after), least)
	after = max(min(max(after, turns), most), returns)
	q.promised = append(q.promised, now.Add(after))
	h.stats.Histogram("come_back_ms").Update(after.Milliseconds())
	return after
}

// placesBackLocked returns how many rooms must come before one who is refused now has its own: for those that wait, for those who were told
// to come back within most, and for itself.
func (q *queue) placesBackLocked(now time.Time, most time.Duration) float64 {
	return float64(len(q.waiting) + q.dueLocked(now, now.Add(most)) + 1)
}

// roomLocked returns when there is room for one more than wait and were told to come back, if those get their part of it.
func (q *queue) roomLocked(c forecast, now time.Time, most time.Duration) time.Duration {
	if len(c.ages) == 0 {
		return min(q.lives.mean(), most)
	}
	c.gain *= returnPart
	return c.by(q.placesBackLocked(now, most), median, most)
}
