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
	// minLikelihoodToStart is the likelihood of room within its time from which a request waits. A wait in vain costs its caller time and the
	// chance elsewhere.
	minLikelihoodToStart = 0.7
	// minLikelihoodToContinue is the likelihood below which a wait that was begun ends: less than at its start, since a part of its price is paid.
	minLikelihoodToContinue = 0.4
	// median is the likelihood at which something happens as often sooner as later.
	median = 0.5
	// reviewInterval is how often the likelihood is worked out again for those that wait: some streams end in between.
	reviewInterval = 100 * time.Millisecond
	// maxPlaces bounds the places of the longest answers, so that none is left without a chance.
	maxPlaces = 4.0
)

// places returns how many rooms a request counts for: when there is not room for all, those with long answers are refused first,
// since each takes the memory and the time of several others.
func (f *inflight) places() float64 {
	usual := float64(f.r.group.Graph().Engine().UsualAnswer)
	answer := float64(f.need.Tokens - f.need.Prompt)
	if usual <= 0 || answer <= usual {
		return 1
	}
	return min(answer/usual, maxPlaces)
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
	initial := h.predictWait(f, q, until)
	if initial.likelihood < minLikelihoodToStart {
		h.record.Failure(f.r.meta.ID, "room would come too late", h.expectationFields(f, initial))
		return chain.Path{}, false
	}
	for current := initial; current.likelihood >= minLikelihoodToContinue; current = h.predictWait(f, q, until) {
		review := h.clock.Now().Add(min(reviewInterval, current.left))
		if path, ok := h.awaitRoom(ctx, f, func() bool { return q.isFirst(f) }, review); ok {
			q.countAdmitted()
			h.observeWait(f, initial, h.clock.Since(start), true)
			return path, true
		}
		if ctx.Err() != nil {
			return chain.Path{}, false
		}
	}
	h.observeWait(f, initial, h.clock.Since(start), false)
	return chain.Path{}, false
}

// maxWait returns how long after its arrival a request may get its path. A caller who was refused before, or whose request has run
// somewhere, is late already and hardly has another chance: it is served as long as it waits.
func (h *Handler) maxWait(f *inflight, q *queue) time.Duration {
	limit := f.r.route.Objective
	if f.returned || f.r.runs > 0 {
		limit = patienceOf(f.r.route)
	}
	return limit - q.usualFirstEvent()
}

// predictWait predicts whether a request that waits has a path in time.
func (h *Handler) predictWait(f *inflight, q *queue, until time.Time) expectation {
	now := h.clock.Now()
	expected := expectation{left: max(until.Sub(now), 0)}
	lanes, outage := h.lanesAndOutage(f.r, q, now)
	usableIn, known := time.Duration(0), false
	if len(lanes) == 0 {
		usableIn, known = h.usableIn(f.r.group, now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	expected.places = q.placesLocked(f, now, until)
	if known {
		// Servers have said when they take work again: a wait that ends before is in vain.
		expected.wait = usableIn
		if usableIn <= expected.left {
			expected.likelihood = 1
		}
		return expected
	}
	if len(lanes) == 0 {
		expected.likelihood = q.outages.endLikelihood(outage, expected.left)
		expected.wait = q.outages.timeToEnd(outage, median, expected.left)
		return expected
	}
	c := q.forecastLocked(now, h.watch.still)
	expected.streams = len(c.ages)
	expected.likelihood = c.likelihood(expected.places, expected.left)
	expected.wait = c.timeFor(expected.places, median, expected.left)
	if turns, limited := h.turnsIn(f.r.group, lanes, expected.places, now); limited {
		// Beside room the request needs a turn, which comes at a known moment.
		expected.wait = max(expected.wait, turns)
		if turns > expected.left {
			expected.likelihood = 0
		}
	}
	return expected
}

// lanesAndOutage returns the lanes of the service, and for how long it has had none or had none until now; it keeps how long such times lasted.
func (h *Handler) lanesAndOutage(r *request, q *queue, now time.Time) ([]chain.Lane, time.Duration) {
	lanes := h.lanesOf(r.group, now)
	outage, ongoing := q.observePath(len(lanes) > 0, now)
	if outage > 0 && !ongoing {
		h.stats.Histogram("pathless_ms").Update(outage.Milliseconds())
		h.record.Routine(r.meta.ID, "path regained", decision.Fields{"service": r.group.Service().Name, "spell_ms": outage.Milliseconds()})
	}
	return lanes, outage
}

// observeWait keeps what was predicted for a wait and what came of it.
func (h *Handler) observeWait(f *inflight, predicted expectation, waited time.Duration, found bool) {
	band := math.Floor(predicted.likelihood*10) / 10
	h.stats.Counter(fmt.Sprintf("waits_total{likelihood=\"%.1f\",came=\"%t\"}", band, found)).Inc(1)
	if found {
		h.observeRatio("wait", waited, predicted.wait)
	}
	h.stats.Histogram("wait_predicted_ms").Update(predicted.wait.Milliseconds())
	h.stats.Histogram(fmt.Sprintf("wait_seen_ms{came=\"%t\"}", found)).Update(waited.Milliseconds())
	fields := h.expectationFields(f, predicted)
	fields["waited_ms"], fields["came"] = waited.Milliseconds(), found
	h.record.Routine(f.r.meta.ID, "waited for room", fields)
}

// expectationFields returns what a line tells of an expectation.
func (h *Handler) expectationFields(f *inflight, predicted expectation) decision.Fields {
	return h.fields(f.r, decision.Fields{
		"places": predicted.places, "streams": predicted.streams, "left_ms": predicted.left.Milliseconds(), "likelihood": predicted.likelihood,
		"predicted_wait_ms": predicted.wait.Milliseconds(), "returned": f.returned,
	})
}
