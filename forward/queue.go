package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"junctioncross/chain"
	"junctioncross/retry"
)

const (
	// roomPoll is how often a waiting request looks for room.
	roomPoll = 15 * time.Millisecond
	// lifeAtFirst, firstEventAtFirst and pathlessAtFirst are the mean life of a stream, the mean time to its first event and the mean
	// time without a path that are assumed before any was seen: an answer of usual length, a prompt that is read at once, and more
	// than a caller waits, since it is not known that a path comes back in time.
	lifeAtFirst       = 3 * time.Second
	firstEventAtFirst = 100 * time.Millisecond
	pathlessAtFirst   = 3 * time.Second
	// usualPart is the part of first events that come within the usual time.
	usualPart = 0.75
	// gainAtFirst is the weight of the assumption that each own stream that ends makes one room, in streams; gainMost is the
	// number of ends after which older ones count half.
	gainAtFirst = 8.0
	gainMost    = 64.0
)

// queue holds the requests of one service that wait for room: the more urgent first, among these those whose callers have come back,
// then the others, each in the order in which they came. It knows
// from what room is predicted.
type queue struct {
	mu      sync.Mutex
	waiting []*inflight
	// underWay holds the streams that have room, and when they arrived.
	underWay map[*inflight]time.Time
	// lives, firsts and spells are how long streams take, how long their first events take and how long there was no path.
	lives, firsts, spells sample
	// ratios are how long answers took against what was predicted, in ratioUnit.
	ratios sample
	// without is since when there has been no path, as far as asked; zero while there is one.
	without time.Time
	// ends and gains count own streams that ended while a request waited, and those that found room after a wait.
	ends, gains float64
	// promised holds when refused callers were told to come back, in no order.
	promised []time.Time
	// tries and refused count the latest first tries, and those of them that were refused.
	tries, refused *retry.Tally
}

func newQueue() *queue {
	return &queue{
		lives: newSample(lifeAtFirst), firsts: newSample(firstEventAtFirst), spells: newSample(pathlessAtFirst), ratios: newSample(ratioUnit),
		ends: gainAtFirst, gains: gainAtFirst, underWay: map[*inflight]time.Time{},
		tries: retry.NewTally(recentSlots, slotTime), refused: retry.NewTally(recentSlots, slotTime),
	}
}

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

// enter notes that a stream which arrived at a moment has room.
func (q *queue) enter(f *inflight, arrived time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.underWay[f] = arrived
}

// exit notes that a stream has given its room back.
func (q *queue) exit(f *inflight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.underWay, f)
}

// ended takes the life of a stream into account.
func (q *queue) ended(life time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lives.add(life)
	if len(q.waiting) > 0 {
		q.ends++
	}
	if q.ends > gainMost {
		q.ends, q.gains = q.ends/2, q.gains/2
	}
}

// pathless notes whether there is a path now, and returns for how long there has been none, or was none until now.
func (q *queue) pathless(path bool, now time.Time) (spell time.Duration, none bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.without.IsZero() {
		spell = now.Sub(q.without)
	}
	switch {
	case path && spell > 0:
		q.spells.add(spell)
		q.without = time.Time{}
	case !path && q.without.IsZero():
		q.without = now
	}
	return spell, !path
}

// forecastLocked returns what is predicted from the streams under way that move, by their ages: one that stands still gives no
// room back, as when the instance is cut off.
func (q *queue) forecastLocked(now time.Time, still func(*inflight) bool) forecast {
	c := forecast{lives: &q.lives, ages: make([]time.Duration, 0, len(q.underWay)), gain: q.gains / q.ends}
	for f, arrived := range q.underWay {
		if !still(f) {
			c.ages = append(c.ages, now.Sub(arrived))
		}
	}
	return c
}

// placesLocked returns how many rooms must come before a request has its own: for those before it, for those who were told to come
// back until a moment and go first, and for itself.
func (q *queue) placesLocked(f *inflight, now, until time.Time) float64 {
	places := f.places()
	for _, other := range q.waiting {
		if other == f {
			break
		}
		places += other.places()
	}
	if !f.returned {
		places += float64(q.dueLocked(now, until))
	}
	return places
}

// dueLocked returns how many refused callers come back until a moment, and forgets those who should have come already.
func (q *queue) dueLocked(now, until time.Time) int {
	q.promised = slices.DeleteFunc(q.promised, func(at time.Time) bool { return at.Before(now) })
	due := 0
	for _, at := range q.promised {
		if !at.After(until) {
			due++
		}
	}
	return due
}

// gained notes that a request found room after a wait.
func (q *queue) gained() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.gains++
}

// began takes the time to a first event into account.
func (q *queue) began(after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.firsts.add(after)
}

// usualFirst returns the time in which most first events come.
func (q *queue) usualFirst() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.firsts.quantile(usualPart)
}

// awaitPath returns the path for the next attempt. A first attempt waits its turn for room, as long as that is likely to leave time
// for the answer to begin within its objective, and not at all otherwise.
func (h *Handler) awaitPath(ctx context.Context, f *inflight) (chain.Path, bool) {
	r, q := f.r, h.queueOf(f.r.group.Service().Name)
	h.pathless(r, q, h.clock.Now())
	// While nobody waits there is nobody to go before: those that arrive together all take the room that there is.
	if q.empty() {
		if path, ok := h.choosePath(f); ok {
			return path, true
		}
	}
	q.join(f)
	defer q.leave(f)
	return h.awaitTurn(ctx, f, q, r.x.Arrived().Add(h.mayWait(f, q)))
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
