package forward

import (
	"context"
	"time"

	"junctioncross/chain"
)

// awaitPath returns the path for the next attempt. A first attempt waits its turn for room while that is likely to leave time
// for the answer to begin within its objective; otherwise it does not wait at all. Servers of plain services have queues of their own, so that
// nobody waits for these here.
func (h *Handler) awaitPath(ctx context.Context, f *inflight) (chain.Path, bool) {
	if f.plain {
		return h.choosePath(f)
	}
	r, q := f.r, h.queueOf(f.r.group.Service().Name)
	h.lanesAndOutage(r, q, h.clock.Now())
	// While the queue is empty there is nobody to overtake, so requests that arrive together all take the room there is.
	if q.empty() {
		if path, ok := h.choosePath(f); ok {
			return path, true
		}
	}
	q.join(f)
	defer q.leave(f)
	return h.awaitTurn(ctx, f, q, r.x.Arrived().Add(h.maxWait(f, q)))
}

// awaitRoom looks for a path until the given time, whenever it is the request's turn.
func (h *Handler) awaitRoom(ctx context.Context, f *inflight, turn func() bool, until time.Time) (chain.Path, bool) {
	for {
		if turn() {
			if path, ok := h.choosePath(f); ok {
				return path, true
			}
		}
		if !h.clock.Now().Before(until) || !h.clock.Sleep(ctx, roomPoll) {
			return chain.Path{}, false
		}
		h.refreshGroup(f)
	}
}
