package forward

import (
	"time"

	"junctioncross/retry"
)

// claimOf returns the claim of a stream to a retry from the budget of a service.
func (h *Handler) claimOf(f *inflight, service string) retry.Claim {
	rank := h.rankPosition(f.r, service)
	claim := retry.Claim{Position: rank.at, Ranks: rank.of}
	begun := f.begun.Load() || f.r.meta.ResumeAfter != ""
	if begun || f.r.route.Objective <= 0 {
		return claim
	}
	left := f.r.x.Arrived().Add(f.r.route.Objective).Sub(h.clock.Now())
	claim.Late = tooLate(f.certainlyReturned, left, h.queueOf(service).usualFirstEvent())
	return claim
}

// tooLate reports whether an answer that has not begun can no longer begin within its objective: its caller was refused before, and
// so counts from an earlier try, or less time is left than a first event usually takes.
func tooLate(returned bool, left, firstEvent time.Duration) bool {
	return returned || left < firstEvent
}
