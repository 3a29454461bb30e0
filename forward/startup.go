package forward

import (
	"context"
	"time"

	"junctioncross/follow"
)

const (
	// startupWait is how long a request waits for the first configuration and the first list of servers on an instance that
	// has just started. When all instances have been restarted, their callers return at once; nearly all instances have both
	// within this time, while a caller that is refused tries again a second or more later and is served late at best.
	startupWait = 350 * time.Millisecond
	// startupPeriod is how long after the start of the instance requests wait for them. Later only an outage can be the
	// reason that they are missing, and callers are refused at once.
	startupPeriod = time.Second
	// startupPoll is the period of the checks.
	startupPoll = 5 * time.Millisecond
)

// awaitSnapshot returns the current snapshot, with a configuration and servers if both are received within a short time.
func (h *Handler) awaitSnapshot(ctx context.Context) *follow.Snapshot {
	now := h.clock.Now()
	until := now.Add(min(startupWait, h.watch.start.Add(startupPeriod).Sub(now)))
	for {
		snapshot := h.fleetView.Current()
		known := snapshot.Catalog() != nil && h.fleetView.Listed()
		if known || !h.clock.Now().Before(until) || !h.clock.Sleep(ctx, startupPoll) {
			return snapshot
		}
	}
}
