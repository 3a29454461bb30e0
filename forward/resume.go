package forward

import (
	"context"
	"slices"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

const (
	// initialResumePause and maxResumePause bound the backoff of a stream that has begun and was refused by servers: after
	// about that time what they report of their memory has changed.
	initialResumePause = 25 * time.Millisecond
	maxResumePause     = 400 * time.Millisecond
	// requeryPeriod is how often the servers that a stream ran on are queried whether they have terminated.
	requeryPeriod = 250 * time.Millisecond
)

// awaitResumePath returns the path on which a stream that has begun is resumed. It waits for as long as the caller does, whatever
// is in the way: an answer that has begun is better late than cut. If it returns false, the reason tells what was in the way.
func (h *Handler) awaitResumePath(ctx context.Context, f *inflight) (chain.Path, models.Reason, bool) {
	if f.refusals > 0 && !h.clock.Sleep(ctx, retry.Backoff(initialResumePause, maxResumePause, f.refusals-1)) {
		return chain.Path{}, models.ReasonNoRoom, false
	}
	reported := models.Reason("")
	var queried time.Time
	for {
		h.refreshGroup(f)
		path, reason := h.resumePath(f)
		if reason == "" {
			return path, "", true
		}
		if isQuarantine(reason) && f.pause(h) > patienceOf(f.r.route) {
			return chain.Path{}, reason, false
		}
		if reason == models.ReasonAttemptsUsedUp && h.clock.Since(queried) >= requeryPeriod {
			h.lookForEnds(ctx, f)
			queried = h.clock.Now()
		}
		if reason != reported {
			reported = reason
			h.stats.Counter("onward_waits_total{reason=\"" + string(reason) + "\"}").Inc(1)
			h.record.Failure(f.r.meta.ID, "waits to go on", h.fields(f.r, decision.Fields{
				"reason": reason, "last_event": f.events.last, "still_ms": f.pause(h).Milliseconds(), "standing": f.r.activeRuns(),
				"most_runs": f.r.route.MaxAttempts, "instances": h.instances.Instances(),
			}))
		}
		if !h.clock.Sleep(ctx, roomPoll) {
			return chain.Path{}, reported, false
		}
	}
}

// lookForEnds finds out whether servers that a stream ran on have terminated.
func (h *Handler) lookForEnds(ctx context.Context, f *inflight) {
	active := activeServers(f.r.ran)
	if !f.plain {
		h.queryFormer(ctx, h.dueForQuery(active))
		return
	}
	for _, s := range active {
		h.lookAfter(f, s, "run that broke")
	}
}

// dueForQuery returns those of the servers that may be queried now: the streams that wait for a server share the limit on its queries.
func (h *Handler) dueForQuery(servers []*backend.Server) []*backend.Server {
	return slices.DeleteFunc(servers, func(s *backend.Server) bool { return !s.TryQuery(h.clock.Now()) })
}

// queryFormer queries servers that a stream ran on until one of them is found to have terminated, or will since it is leaving.
func (h *Handler) queryFormer(ctx context.Context, servers []*backend.Server) {
	for _, s := range servers {
		queryCtx, cancel := context.WithTimeout(ctx, h.clock.Patience(queryTimeout))
		q := stateQuery{server: s, sentAt: h.clock.Now(), timeout: queryTimeout, why: "run that broke"}
		report, err := h.engines.Report(queryCtx, s.Addr())
		cancel()
		h.applyAnswer(q, report, err)
		if s.PresumedEnded() && s.Gone() && s.LeavingFor(h.clock.Now()) > h.settings.Load().DrainTime {
			// It has no entry and has not answered for long: it is partitioned or dead.
			s.MarkEnded()
		}
		if s.Ended() || s.Leaving() {
			return
		}
	}
}

// resumePath returns a path for a stream that has begun, or the reason why there is none; it takes one retry from the
// service's budget unless one is granted already.
func (h *Handler) resumePath(f *inflight) (chain.Path, models.Reason) {
	if k, ok := h.quarantineOf(f.r); ok && f.r.x.Begun() {
		return chain.Path{}, k.reason()
	}
	starts := f.startsAfter(f.r.ran)
	path, ok := h.choosePathFrom(f, starts)
	if !ok && starts != nil {
		return chain.Path{}, models.ReasonAttemptsUsedUp
	}
	if !ok {
		return chain.Path{}, models.ReasonNoRoom
	}
	if verdict := h.maySendStream(f); verdict != retry.Granted {
		return chain.Path{}, budgetReason(verdict)
	}
	return path, ""
}

// refreshGroup gives a stream the present servers of its service to choose from.
func (h *Handler) refreshGroup(f *inflight) {
	if now := h.fleetView.Current(); now.Catalog() != nil {
		f.r.group = now.GroupLike(f.r.group)
	}
}
