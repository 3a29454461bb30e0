package forward

import (
	"context"
	"time"

	"junctioncross/follow"
)

const (
	// newsWait is how long a request waits for the first configuration and the first servers of an instance that has just started. It
	// answers the return of callers after the end of all instances, of which nearly all know both within that time, while a
	// caller who is refused for want of them comes back a second or more later and is served late at best.
	newsWait = 350 * time.Millisecond
	// newsTime is how long after its start an instance counts on them. Later it is an outage that keeps them
	// away, and callers are refused at once.
	newsTime = time.Second
	// newsPoll is how often it looks.
	newsPoll = 5 * time.Millisecond
)

// awaitNews returns the present snapshot, with a configuration and servers if both are heard of within a short time.
func (h *Handler) awaitNews(ctx context.Context) *follow.Snapshot {
	now := h.clock.Now()
	until := now.Add(min(newsWait, h.watch.start.Add(newsTime).Sub(now)))
	for {
		snapshot := h.board.Current()
		known := snapshot.Catalog() != nil && h.board.Listed()
		if known || !h.clock.Now().Before(until) || !h.clock.Sleep(ctx, newsPoll) {
			return snapshot
		}
	}
}
