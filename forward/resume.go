package forward

import (
	"context"
	"time"

	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

const (
	// initialResumePause and longestOnwardPause bound the time that a stream which has begun waits after servers have turned it away:
	// about the time after which their word on their memory has changed.
	initialResumePause = 25 * time.Millisecond
	maxResumePause     = 400 * time.Millisecond
	// requeryPeriod is how long after the servers that a stream ran on were asked whether they have ended they are asked again.
	requeryPeriod = 250 * time.Millisecond
)

// awaitOnward returns the path on which a stream that has begun goes on. It waits for as long as the caller does: an answer that has
// begun is worth more late than cut, whatever it has to wait for. False comes with the reason why it could not go on.
func (h *Handler) awaitOnward(ctx context.Context, f *inflight) (chain.Path, models.Reason, bool) {
	if f.refusals > 0 && !h.clock.Sleep(ctx, retry.Doubled(initialResumePause, maxResumePause, f.refusals-1)) {
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
		if reason == models.ReasonAttempts && h.clock.Since(queried) >= requeryPeriod {
			if !h.mayStillEnd(ctx, f) {
				return chain.Path{}, reason, false
			}
			queried = h.clock.Now()
		}
		if reason != reported {
			reported = reason
			h.stats.Counter("onward_waits_total{reason=\"" + string(reason) + "\"}").Inc(1)
			h.record.Failure(f.r.meta.ID, "waits to go on", h.fields(f.r, decision.Fields{
				"reason": reason, "last_event": f.events.last, "still_ms": f.pause(h).Milliseconds(), "standing": f.r.standing(),
				"most_runs": f.r.route.MaxAttempts, "instances": h.census.Instances(),
			}))
		}
		if !h.clock.Sleep(ctx, roomPoll) {
			return chain.Path{}, reported, false
		}
	}
}

// mayStillEnd asks the servers that the stream ran on how they are, and reports whether it may go on later: because one has ended, or
// will since it leaves. Otherwise its caller had better ask elsewhere at once.
func (h *Handler) mayStillEnd(ctx context.Context, f *inflight) bool {
	for _, s := range f.r.ran {
		if s.Ended() {
			continue
		}
		ask, cancel := context.WithTimeout(ctx, askTime)
		report, err := h.caller.Report(ask, s.Addr())
		cancel()
		h.believe(s, report, err, "run that broke")
		if err != nil && s.Gone() && s.LeavingFor(h.clock.Now()) > h.terms.Load().DrainTime {
			// It has neither an entry nor a word: it is cut off or dead.
			s.End()
		}
		if s.Ended() || s.Leaving() {
			return true
		}
	}
	return f.r.standing() < f.r.route.MaxAttempts
}

// resumePath returns a path for a stream that has begun, or what is in its way; it takes one repeat of the service's allowance unless one is granted.
func (h *Handler) resumePath(f *inflight) (chain.Path, models.Reason) {
	if f.r.standing() >= f.r.route.MaxAttempts {
		return chain.Path{}, models.ReasonAttempts
	}
	path, ok := h.choosePath(f)
	if !ok {
		return chain.Path{}, models.ReasonNoRoom
	}
	if !h.maySend(f.r) {
		return chain.Path{}, models.ReasonNoBudget
	}
	return path, ""
}

// refreshGroup lets a stream see the servers that there are now.
func (h *Handler) refreshGroup(f *inflight) {
	if group := h.board.Current().Group(f.r.group.Service().Name); group != nil {
		f.r.group = group
	}
}
