package forward

import (
	"context"
	"fmt"
	"math"
	"time"

	"junctioncross/chain"
	"junctioncross/decision"
)

const (
	// enough is the likelihood of room within its time from which a request waits. A wait in vain costs its caller time and the
	// chance elsewhere.
	enough = 0.7
	// hopeless is the likelihood below which a wait that was begun ends: less than at its start, since a part of its price is paid.
	hopeless = 0.4
	// median is the likelihood at which something happens as often sooner as later.
	median = 0.5
	// reviewTime is how often the likelihood is worked out again for those that wait: some streams end in between.
	reviewTime = 100 * time.Millisecond
	// mostPlaces bounds the places of the longest answers, so that none is left without a chance.
	mostPlaces = 4.0
)

// places returns how many rooms a request counts for: when there is not room for all, those with long answers are refused first,
// since each takes the memory and the time of several others.
func (f *inflight) places() float64 {
	usual := float64(f.r.group.Graph().Engine().UsualAnswer)
	answer := float64(f.need.Tokens - f.need.Prompt)
	if usual <= 0 || answer <= usual {
		return 1
	}
	return min(answer/usual, mostPlaces)
}

// expectation is what is predicted for a request that waits.
type expectation struct {
	// places are the rooms that must come before the request has its own.
	places float64
	// streams are under way here and move.
	streams int
	// left is how long the request may wait yet, and likelihood how likely it has a path by then.
	left       time.Duration
	likelihood float64
	// wait is when it has one as likely as not.
	wait time.Duration
}

// awaitTurn waits for a request's turn and for room, as long as both are likely to come until a moment.
func (h *Handler) awaitTurn(ctx context.Context, f *inflight, q *queue, until time.Time) (chain.Path, bool) {
	start := h.clock.Now()
	at := h.expect(f, q, until)
	if at.likelihood < enough {
		h.record.Failure(f.r.meta.ID, "room would come too late", h.expected(f, at))
		return chain.Path{}, false
	}
	for now := at; now.likelihood >= hopeless; now = h.expect(f, q, until) {
		review := h.clock.Now().Add(min(reviewTime, now.left))
		if path, ok := h.awaitRoom(ctx, f, func() bool { return q.first(f) }, review); ok {
			q.gained()
			h.observeWait(f, at, h.clock.Since(start), true)
			return path, true
		}
		if ctx.Err() != nil {
			return chain.Path{}, false
		}
	}
	h.observeWait(f, at, h.clock.Since(start), false)
	return chain.Path{}, false
}

// mayWait returns how long after its arrival a request may get its path. A caller who was refused before, or whose request has run
// somewhere, is late already and hardly has another chance: it is served as long as it waits.
func (h *Handler) mayWait(f *inflight, q *queue) time.Duration {
	limit := f.r.route.Objective
	if f.returned || f.r.runs > 0 {
		limit = patienceOf(f.r.route)
	}
	return limit - q.usualFirst()
}

// expect predicts whether a request that waits has a path in time.
func (h *Handler) expect(f *inflight, q *queue, until time.Time) expectation {
	now := h.clock.Now()
	at := expectation{left: max(until.Sub(now), 0)}
	lanes, spell := h.pathless(f.r, q, now)
	returns, known := time.Duration(0), false
	if len(lanes) == 0 {
		returns, known = h.returnsIn(f.r.group, now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	at.places = q.placesLocked(f, now, until)
	if known {
		// Servers have said when they take work again: a wait that ends before is in vain.
		at.wait = returns
		if returns <= at.left {
			at.likelihood = 1
		}
		return at
	}
	if len(lanes) == 0 {
		at.likelihood = q.spells.within(spell, at.left)
		at.wait = q.spells.until(spell, median, at.left)
		return at
	}
	c := q.forecastLocked(now, h.watch.still)
	at.streams = len(c.ages)
	at.likelihood = c.likelihood(at.places, at.left)
	at.wait = c.by(at.places, median, at.left)
	if turns, limited := h.turnsIn(f.r.group, lanes, at.places, now); limited {
		// Beside room the request needs a turn, which comes at a known moment.
		at.wait = max(at.wait, turns)
		if turns > at.left {
			at.likelihood = 0
		}
	}
	return at
}

// pathless returns the lanes of the service, and for how long it has had none or had none until now; it keeps how long such times lasted.
func (h *Handler) pathless(r *request, q *queue, now time.Time) ([]chain.Lane, time.Duration) {
	lanes := h.lanesOf(r.group, now)
	spell, none := q.pathless(len(lanes) > 0, now)
	if spell > 0 && !none {
		h.stats.Histogram("pathless_ms").Update(spell.Milliseconds())
		h.record.Routine(r.meta.ID, "path regained", decision.Fields{"service": r.group.Service().Name, "spell_ms": spell.Milliseconds()})
	}
	return lanes, spell
}

// observeWait keeps what was predicted for a wait and what came of it.
func (h *Handler) observeWait(f *inflight, at expectation, waited time.Duration, came bool) {
	band := math.Floor(at.likelihood*10) / 10
	h.stats.Counter(fmt.Sprintf("waits_total{likelihood=\"%.1f\",came=\"%t\"}", band, came)).Inc(1)
	if came {
		h.observeRatio("wait", waited, at.wait)
	}
	h.stats.Histogram("wait_predicted_ms").Update(at.wait.Milliseconds())
	h.stats.Histogram(fmt.Sprintf("wait_seen_ms{came=\"%t\"}", came)).Update(waited.Milliseconds())
	fields := h.expected(f, at)
	fields["waited_ms"], fields["came"] = waited.Milliseconds(), came
	h.record.Routine(f.r.meta.ID, "waited for room", fields)
}

// expected returns what a line tells of an expectation.
func (h *Handler) expected(f *inflight, at expectation) decision.Fields {
	return h.fields(f.r, decision.Fields{
		"places": at.places, "streams": at.streams, "left_ms": at.left.Milliseconds(), "likelihood": at.likelihood,
		"predicted_wait_ms": at.wait.Milliseconds(), "returned": f.returned,
	})
}
