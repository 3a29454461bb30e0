package forward

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
)

const (
	// minLikelihoodToStart is the likelihood of getting room in time that a request needs to start waiting. A wait without success
	// costs its caller time and the chance to be served elsewhere.
	minLikelihoodToStart = 0.7
	// minLikelihoodToContinue is the likelihood below which a wait ends. It is lower than minLikelihoodToStart, since part of
	// the cost of waiting has been paid already.
	minLikelihoodToContinue = 0.4
	// median is the likelihood at which something is as likely to happen earlier as later.
	median = 0.5
	// reviewInterval is how often the likelihood is computed again for a waiting request; some streams end in between.
	reviewInterval = 100 * time.Millisecond
	// maxPlaces bounds the places of the longest answers, so that these are not always refused.
	maxPlaces = 4.0
)

// places returns how many places a request counts for; one place is the room for a stream of usual length. When there is not
// room for all, long answers are refused first, since each takes the memory and time of several others.
func (f *inflight) places() float64 {
	usual := float64(f.r.group.Graph().Engine().UsualAnswer)
	answer := float64(f.need.Tokens - f.need.Prompt)
	if usual <= 0 || answer <= usual {
		return 1
	}
	return min(answer/usual, maxPlaces)
}

// expectation is what is predicted for a waiting request.
type expectation struct {
	// places is the number of places that must become free before the request gets room.
	places float64
	// streams is the number of this instance's streams under way that make progress.
	streams int
	// left is how long the request may still wait, and likelihood how likely it gets a path by then.
	left       time.Duration
	likelihood float64
	// wait is the time by which it gets a path with a likelihood of one half.
	wait time.Duration
}

// awaitTurn waits for a request's turn and for room, until the given time at most and while it is likely to get both by then. It looks once if that
// time is over.
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
		// The end of the wait depends on no forecast.
		if !h.clock.Now().Before(until) {
			break
		}
	}
	h.observeWait(f, initial, h.clock.Since(start), false)
	return chain.Path{}, false
}

// maxWait returns how long after its arrival a request may get its path. A returning caller, or one whose request has already
// run on some server, is late already and hardly has another chance, so it is served within the whole time that callers wait.
func (h *Handler) maxWait(f *inflight, q *queue) time.Duration {
	limit := f.r.route.Objective
	if f.returned || f.r.runs > 0 {
		limit = patienceOf(f.r.route)
	}
	return limit - q.usualFirstEvent()
}

// predictWait predicts whether a waiting request gets a path in time.
func (h *Handler) predictWait(f *inflight, q *queue, until time.Time) expectation {
	now := h.clock.Now()
	expected := expectation{left: max(until.Sub(now), 0)}
	lanes, outage := h.lanesAndOutage(f.r, q, now)
	usableIn, known, awaited := time.Duration(0), false, false
	if len(lanes) == 0 {
		usableIn, known = h.usableIn(f.r.group, now)
		awaited = !known && awaitsSilent(f.r.group, now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	expected.places = q.placesLocked(f, now, until)
	if known {
		// The servers have said when they accept work again: a wait that ends before that cannot succeed.
		expected.wait = usableIn
		if usableIn <= expected.left {
			expected.likelihood = 1
		}
		return expected
	}
	if len(lanes) == 0 {
		expected.likelihood = q.outages.endLikelihood(outage, expected.left)
		expected.wait = q.outages.timeToEnd(outage, median, expected.left)
		if awaited {
			expected.likelihood = max(expected.likelihood, minLikelihoodToStart)
		}
		return expected
	}
	c := q.forecastLocked(now, h.watch.stalled)
	expected.streams = len(c.ages)
	expected.likelihood = c.likelihood(expected.places, expected.left)
	expected.wait = c.timeFor(expected.places, median, expected.left)
	if rateDelay, limited := h.rateLimitDelay(f.r.group, lanes, expected.places, now); limited {
		// Besides room, the request needs the rate limit of the first servers to allow it, which happens at a known time.
		expected.wait = max(expected.wait, rateDelay)
		if rateDelay > expected.left {
			expected.likelihood = 0
		}
	}
	return expected
}

// awaitsSilent reports whether there would be a lane if silent servers took work that accept connections and are silent for no longer than
// sound servers are, so that they may at any moment.
func awaitsSilent(group *backend.Group, now time.Time) bool {
	servers := group.Servers()
	late := func(i int) bool {
		s := servers[i]
		return s.IsSilent() && !s.Unreachable() && !s.PresumedEnded() && !s.Leaving()
	}
	if !slices.ContainsFunc(servers, func(s *backend.Server) bool { return s.IsSilent() }) {
		return false
	}
	usable := func(i int) bool { return late(i) || servers[i].Usable(now) }
	return len(usualLanes(group, usable, func(i int) float64 { return servers[i].Pace(now) })) > 0
}

// lanesAndOutage returns the lanes of the service, and how long the current path outage has lasted or the one that has just
// ended. It records outages that have ended.
func (h *Handler) lanesAndOutage(r *request, q *queue, now time.Time) ([]chain.Lane, time.Duration) {
	lanes := h.lanesOf(r.group, now)
	outage, ongoing := q.observePath(len(lanes) > 0, now)
	if outage > 0 && !ongoing {
		h.stats.Histogram("pathless_ms").Update(outage.Milliseconds())
		h.record.Routine(r.meta.ID, "path regained", decision.Fields{"service": r.group.Service().Name, "spell_ms": outage.Milliseconds()})
	}
	return lanes, outage
}

// observeWait records what was predicted for a wait, and its outcome.
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

// expectationFields returns the log fields of an expectation.
func (h *Handler) expectationFields(f *inflight, predicted expectation) decision.Fields {
	return h.fields(f.r, decision.Fields{
		"places": predicted.places, "streams": predicted.streams, "left_ms": predicted.left.Milliseconds(), "likelihood": predicted.likelihood,
		"predicted_wait_ms": predicted.wait.Milliseconds(), "returned": f.returned,
	})
}
