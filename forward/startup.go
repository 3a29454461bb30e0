package forward

import (
	"context"
	"time"

	"junctioncross/follow"
)

const (
	// startupWait is how long a request waits for the first configuration and the first servers of an instance that has just started. It
	// answers the return of callers after the end of all instances, of which nearly all know both within that time, while a
	// caller who is refused for want of them comes back a second or more later and is served late at best.
	startupWait = 350 * time.Millisecond
	// startupPeriod is how long after its start an instance counts on them. Later it is an outage that keeps them
	// away, and callers are refused at once.
	startupPeriod = time.Second
	// startupPoll is how often it looks.
	startupPoll = 5 * time.Millisecond
)

// awaitSnapshot returns the present snapshot, with a configuration and servers if both are heard of within a short time.
func (h *Handler) awaitSnapshot(ctx context.Context) *follow.Snapshot {
	now := h.clock.Now()
	until := now.Add(min(startupWait, h.watch.start.Add(startupPeriod).Sub(now)))
	for {
		snapshot := h.board.Current()
		known := snapshot.Catalog() != nil && h.board.Listed()
		if known || !h.clock.Now().Before(until) || !h.clock.Sleep(ctx, startupPoll) {
			return snapshot
		}
	}
}
