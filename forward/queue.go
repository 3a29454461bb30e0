package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"junctioncross/chain"
	"junctioncross/decision"
)

const (
	// roomWait is the part of the objective that a request may wait for room: with the usual time to a first event, a tenth to a
	// fifth of the objective, the answer still begins in time.
	roomWait = 0.6
	// blindWait is the part that it may wait while there is no path at all: a refusal within a quarter of the objective leaves its
	// caller time to be served elsewhere.
	blindWait = 0.2
	// lastWait is the part of its patience that a caller waits who was refused before and has come back: it has hardly another
	// chance, and a late answer is better than none.
	lastWait = 0.8
	// roomPoll is how often a waiting request looks for room.
	roomPoll = 15 * time.Millisecond
	// lifeWeight is the weight of the newest stream in the mean life of streams.
	lifeWeight = 0.05
	// lifeAtFirst is the mean life that is assumed before a stream has ended.
	lifeAtFirst = 3 * time.Second
)

// queue holds the requests of one service that wait for room: the more urgent first, among these those whose callers have come back,
// then the others, each in the order in which they came.
type queue struct {
	mu      sync.Mutex
	waiting []*inflight
	// life is the mean time that streams take.
	life time.Duration
}

func newQueue() *queue { return &queue{life: lifeAtFirst} }

// join adds a request and returns how many are before it.
func (q *queue) join(f *inflight) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := len(q.waiting)
	for ; at > 0 && f.before(q.waiting[at-1]); at-- {
		q.waiting[at-1].r.overtaken++
	}
	q.waiting = slices.Insert(q.waiting, at, f)
	return at
}

// mostOvertaken is how often more urgent requests may go before one that has waited longer, so that under lasting overload the less
// urgent ones still get a quarter of the turns.
const mostOvertaken = 3

// before reports whether a request goes before one that has waited longer.
func (f *inflight) before(other *inflight) bool {
	if c := f.r.urgency.compare(other.r.urgency); c != 0 {
		return c < 0 && other.r.overtaken < mostOvertaken
	}
	return f.returned && !other.returned
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

func (q *queue) leave(f *inflight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, f); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// first reports whether it is a request's turn.
func (q *queue) first(f *inflight) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && q.waiting[0] == f
}

// ended takes the life of a stream into the mean.
func (q *queue) ended(life time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.life += time.Duration(lifeWeight * float64(life-q.life))
}

// wait predicts how long a request waits behind so many others: room comes from the streams that end, of which so many are
// under way.
func (q *queue) wait(before, underWay int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.life * time.Duration(before+1) / time.Duration(max(underWay, 1))
}

// awaitPath returns the path for the next attempt. A first attempt waits its turn for room, as long as that leaves time for the
// answer to begin within its objective, and not at all when it would take longer.
func (h *Handler) awaitPath(ctx context.Context, f *inflight) (chain.Path, bool) {
	r, q := f.r, h.queueOf(f.r.group.Service().Name)
	// While nobody waits there is nobody to go before: those that arrive together all take the room that there is.
	if q.empty() {
		if path, ok := h.choosePath(f); ok {
			return path, true
		}
	}
	before := q.join(f)
	defer q.leave(f)
	share := blindWait
	if len(h.lanesOf(r.group, h.clock.Now())) > 0 {
		share = roomWait
	}
	limit := time.Duration(share * f.patienceShare() * float64(r.route.Objective))
	if f.returned {
		limit = max(limit, time.Duration(lastWait*float64(patienceOf(r.route))))
	}
	if wait := q.wait(before, h.watch.count()); share == roomWait && wait > limit {
		h.record.Failure(r.meta.ID, "room would come too late", h.fields(r, decision.Fields{
			"waiting": before, "streams": h.watch.count(), "predicted_wait_ms": wait.Milliseconds(), "limit_ms": limit.Milliseconds(),
			"returned": f.returned,
		}))
		return chain.Path{}, false
	}
	return h.awaitRoom(ctx, f, func() bool { return q.first(f) }, r.x.Arrived().Add(limit))
}

// leastShare bounds the share of the usual wait that the longest answers get.
const leastShare = 0.25

// patienceShare returns the part of the usual wait that a request gets: when there is not room for all, those with long answers
// are refused first, since each takes the memory and the time of several others.
func (f *inflight) patienceShare() float64 {
	usual := float64(f.r.group.Graph().Engine().UsualAnswer)
	answer := float64(f.need.Tokens - f.need.Prompt)
	if usual <= 0 || answer <= usual {
		return 1
	}
	return max(usual/answer, leastShare)
}

// awaitRoom looks for a path until a moment, whenever it is the request's turn.
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

func (h *Handler) queueOf(service string) *queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[service]
	if q == nil {
		q = newQueue()
		h.queues[service] = q
	}
	return q
}
